import { type ByteBudget, createByteCollector } from '@cactusdeal/shared';
import { Encoder } from 'cbor-x';
import { createMemoryBudgets } from './CactusdealRelayMemory.js';

/** Kinds of messages on a link; the first element of each message. */
export const MessageKind = {
  Hello: 0,
  Report: 1,
  Call: 2,
  Answer: 3,
  NotRun: 4,
  Unknown: 5,
  Cancel: 6,
  Ping: 7,
  Pong: 8,
  Status: 9,
  ConfigurationRequest: 10,
  Configuration: 11,
  AnswerPiece: 12,
  Departure: 13,
  Limit: 14,
  Crashes: 15,
  QuotaUsage: 16,
  QuotaState: 17,
  QuotaSummary: 18,
  CallPiece: 19,
  RolloutCounts: 20,
  RolloutState: 21,
  CallOffer: 22,
  CallGrant: 23,
} as const;

/** A message on a link: its kind, then its fields in a fixed order. */
export type Message = readonly [kind: number, ...fields: unknown[]];

/** Largest message accepted, in bytes; a larger one ends the link. */
export const MAX_MESSAGE_BYTES = 72 * 1024 * 1024;

const LENGTH_BYTES = 4;
const encoder = new Encoder({ useRecords: false, tagUint8Array: false, structuredClone: false });

/** Encodes a message as CBOR, prefixed with its length. */
export function encodeMessage(message: Message): Buffer {
  const body = encoder.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Least size of a field of bytes that is written without a copy. */
const MIN_UNCOPIED_BYTES = 64 * 1024;
/** First bytes of an array of up to 23 elements and of a byte string with a length of 4 bytes; RFC 8949. */
const CBOR_ARRAY = 0x80;
const CBOR_LONG_BYTES = 0x5a;

/**
 * Encodes a message as `encodeMessage` does, in parts to write one after the other. A large field of bytes is a
 * part of its own and no copy, so that a large body is in memory once while it is written.
 */
export function encodeParts(message: Message): readonly Uint8Array[] {
  const index = message.findIndex(
    (field) => field instanceof Uint8Array && field.byteLength >= MIN_UNCOPIED_BYTES,
  );
  if (index < 0) return [encodeMessage(message)];
  const bytes = message[index] as Uint8Array;
  const encodeFields = (fields: readonly unknown[]): Buffer =>
    Buffer.concat(fields.map((field) => Buffer.from(encoder.encode(field))));
  const start = encodeFields(message.slice(0, index));
  const end = encodeFields(message.slice(index + 1));
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  const bytesHead = Buffer.alloc(1 + LENGTH_BYTES);
  bytesHead.writeUInt8(CBOR_LONG_BYTES, 0);
  bytesHead.writeUInt32BE(bytes.byteLength, 1);
  const bodyLength = 1 + start.length + bytesHead.length + bytes.byteLength + end.length;
  head.writeUInt32BE(bodyLength, 0);
  head.writeUInt8(CBOR_ARRAY + message.length, LENGTH_BYTES);
  return [Buffer.concat([head, start, bytesHead]), bytes, end];
}

/** Bytes of each unfinished message that do not count among them. */
const RESERVED_BYTES = 64 * 1024;

/** Splits the byte stream of a link into messages. */
export interface MessageReader {
  /**
   * Reads a chunk and passes on each message that it completes.
   *
   * @throws RangeError if a message is too long or finds no room in the budget, and an Error if it is
   * not valid CBOR.
   */
  read(chunk: Buffer): void;
  /** Discards an unfinished message. */
  close(): void;
}

export function createMessageReader(
  receive: (message: Message) => void,
  budget: ByteBudget = createMemoryBudgets().links,
): MessageReader {
  const maxBytes = 2 * (LENGTH_BYTES + MAX_MESSAGE_BYTES);
  const unread = createByteCollector({ maxBytes, budget, reservedBytes: RESERVED_BYTES });
  let neededBytes = LENGTH_BYTES;
  return { read, close: () => unread.discard() };

  function read(chunk: Buffer): void {
    if (unread.countBytes() + chunk.length < neededBytes) {
      addUnread(chunk);
      return;
    }
    let rest = chunk;
    if (unread.countBytes() > 0) {
      addUnread(chunk);
      rest = unread.take();
    }
    while (rest.length >= LENGTH_BYTES) {
      const end = LENGTH_BYTES + readLength(rest);
      if (rest.length < end) break;
      receive(encoder.decode(rest.subarray(LENGTH_BYTES, end)) as Message);
      rest = rest.subarray(end);
    }
    neededBytes = rest.length < LENGTH_BYTES ? LENGTH_BYTES : LENGTH_BYTES + readLength(rest);
    if (rest.length > 0) addUnread(rest);
  }

  function addUnread(chunk: Buffer): void {
    const heldBytes = unread.countBytes();
    if (!unread.add(chunk))
      throw new RangeError(`no room for an unfinished message after ${heldBytes} bytes`);
  }
}

function readLength(bytes: Buffer): number {
  const length = bytes.readUInt32BE(0);
  if (length > MAX_MESSAGE_BYTES)
    throw new RangeError(`message of ${length} bytes exceeds the limit of ${MAX_MESSAGE_BYTES}`);
  return length;
}

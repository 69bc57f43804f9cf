import { type ByteBudget, createByteBudget, createByteCollector } from '@cactusdeal/shared';
import { Encoder } from 'cbor-x';

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

/** Most bytes of unfinished messages and answers that all links of a daemon hold together. */
const MAX_LINK_BYTES = 96 * 1024 * 1024;
/** Bytes of each unfinished message that do not count among them. */
const RESERVED_BYTES = 64 * 1024;

/** Creates the budget of the links of a daemon. */
export function createLinkBudget(): ByteBudget {
  return createByteBudget(MAX_LINK_BYTES);
}

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
  budget: ByteBudget = createLinkBudget(),
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

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

/**
 * Creates a function that takes chunks of a byte stream and passes each complete message to
 * `receive`. It throws if a message is too long or is not valid CBOR.
 */
export function createMessageReader(receive: (message: Message) => void): (chunk: Buffer) => void {
  let chunks: Buffer[] = [];
  let bufferedBytes = 0;
  let neededBytes = LENGTH_BYTES;
  return (chunk) => {
    chunks.push(chunk);
    bufferedBytes += chunk.length;
    if (bufferedBytes < neededBytes) return;
    let rest = chunks.length === 1 ? chunk : Buffer.concat(chunks);
    while (rest.length >= LENGTH_BYTES) {
      const end = LENGTH_BYTES + readLength(rest);
      if (rest.length < end) break;
      receive(encoder.decode(rest.subarray(LENGTH_BYTES, end)) as Message);
      rest = rest.subarray(end);
    }
    neededBytes = rest.length < LENGTH_BYTES ? LENGTH_BYTES : LENGTH_BYTES + readLength(rest);
    chunks = rest.length === 0 ? [] : [rest];
    bufferedBytes = rest.length;
  };
}

function readLength(bytes: Buffer): number {
  const length = bytes.readUInt32BE(0);
  if (length > MAX_MESSAGE_BYTES)
    throw new RangeError(`message of ${length} bytes exceeds the limit of ${MAX_MESSAGE_BYTES}`);
  return length;
}

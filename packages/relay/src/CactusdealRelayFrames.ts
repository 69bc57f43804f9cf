import { Encoder } from 'cbor-x';

/** Kinds of messages on a link; the first item of each message's array. */
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
  WantConfiguration: 10,
  Configuration: 11,
} as const;

/** A message on a link: its kind, then its fields in the order that the sender and reader share. */
export type Message = readonly [kind: number, ...fields: unknown[]];

/** Largest message that is read, in bytes; a larger one ends the link. */
export const MAX_MESSAGE_BYTES = 128 * 1024 * 1024;

const LENGTH_BYTES = 4;
const encoder = new Encoder({ useRecords: false, tagUint8Array: false, structuredClone: false });

/** Encodes a message with its length before it. */
export function encodeMessage(message: Message): Buffer {
  const body = encoder.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Takes bytes as they come and gives whole messages. Throws on what is no message. */
export function createMessageReader(receive: (message: Message) => void): (chunk: Buffer) => void {
  let parts: Buffer[] = [];
  let held = 0;
  let wanted = LENGTH_BYTES;
  return (chunk) => {
    parts.push(chunk);
    held += chunk.length;
    if (held < wanted) return;
    let rest = parts.length === 1 ? chunk : Buffer.concat(parts);
    while (rest.length >= LENGTH_BYTES) {
      const end = LENGTH_BYTES + readLength(rest);
      if (rest.length < end) break;
      receive(encoder.decode(rest.subarray(LENGTH_BYTES, end)) as Message);
      rest = rest.subarray(end);
    }
    wanted = rest.length < LENGTH_BYTES ? LENGTH_BYTES : LENGTH_BYTES + readLength(rest);
    parts = rest.length === 0 ? [] : [rest];
    held = rest.length;
  };
}

function readLength(bytes: Buffer): number {
  const length = bytes.readUInt32BE(0);
  if (length > MAX_MESSAGE_BYTES) throw new RangeError(`a message of ${length} bytes`);
  return length;
}

import type { Socket } from 'node:net';
import { encodeMessage, type Message, MessageKind } from './CactusdealRelayFrames.js';
import type { Uplink } from './CactusdealRelayUplink.js';
import type { UplinkTransfer } from './CactusdealRelayUplinkSchedule.js';

/** Writes messages to a link; large bodies go in pieces between the other messages. */
export interface LinkWriter {
  write(message: Message): void;
  /**
   * Writes `body` in pieces, then the message that `buildMessage` builds at that moment, to which the body
   * belongs. `targetAtMs` is the time by which an answer is wanted.
   */
  writeLarge(id: number, body: Uint8Array, buildMessage: () => Message, targetAtMs?: number): void;
  /** Does the same as far as `grant` lets it. */
  writeGranted(id: number, body: Uint8Array, buildMessage: () => Message): void;
  /** Lets `bytes` more of the body of the call with this id be written. */
  grant(id: number, bytes: number): void;
  /** Discards what is left of the large body of the call with this id. */
  discard(id: number): void;
}

/** Kind of the messages that hold the pieces. */
export type PieceKind = typeof MessageKind.AnswerPiece | typeof MessageKind.CallPiece;

/** The part of a socket that the writer uses. */
export type LinkSocket = Pick<Socket, 'destroyed' | 'writableNeedDrain' | 'write' | 'on'>;

/** A body of which some pieces are not written yet. */
interface LargeBody {
  readonly id: number;
  readonly bytes: Uint8Array;
  readonly buildMessage: () => Message;
  writtenBytes: number;
  /** Infinity if it needs no grant. */
  grantedBytes: number;
}

/** Target of a body that names none. */
const NO_TARGET_AT_MS = Number.MAX_SAFE_INTEGER;
/** Size of a piece; also the size above which a body is written in pieces. */
export const PIECE_BYTES = 16 * 1024;

export interface LinkWriterOptions {
  /** Kind of the messages that carry the pieces; by default those of answers. */
  readonly pieceKind?: PieceKind;
  /** Decides over all links which large body is written next; undefined if its bandwidth is unknown. */
  readonly uplink?: Uplink | undefined;
}

/**
 * Creates the writer of one link, whose large bodies are those of answers or of calls.
 *
 * Load pattern: large bodies beside small calls on a narrow link. A large body that was written at
 * once would hold up every message behind it for its whole transfer time. Pieces of all large bodies
 * take turns, and the next one is written only when the socket has passed on the last, so a small
 * message waits for the data that the socket holds already and no more.
 */
export function createLinkWriter(
  socket: LinkSocket,
  { pieceKind = MessageKind.AnswerPiece, uplink }: LinkWriterOptions = {},
): LinkWriter {
  let bodies: LargeBody[] = [];
  const transfers = new Map<number, UplinkTransfer>();
  socket.on('drain', () => (uplink === undefined ? writePieces() : uplink.run()));
  socket.on('close', () => [...transfers.keys()].forEach(removeTransfer));
  return {
    write,
    writeLarge: (id, bytes, buildMessage, targetAtMs = NO_TARGET_AT_MS) => {
      const body = { id, bytes, buildMessage, writtenBytes: 0, grantedBytes: Infinity };
      if (uplink !== undefined) {
        addTransfer(uplink, body, targetAtMs);
        return;
      }
      bodies.push(body);
      writePieces();
    },
    writeGranted: (id, bytes, buildMessage) => {
      bodies.push({ id, bytes, buildMessage, writtenBytes: 0, grantedBytes: 0 });
    },
    grant: (id, bytes) => {
      const body = bodies.find((each) => each.id === id);
      if (body === undefined) return;
      body.grantedBytes += bytes;
      writePieces();
    },
    discard: (id) => {
      removeTransfer(id);
      bodies = bodies.filter((body) => body.id !== id);
    },
  };

  function write(message: Message): void {
    if (!socket.destroyed) socket.write(encodeMessage(message));
  }

  function writePieces(): void {
    while (!socket.destroyed && !socket.writableNeedDrain) {
      const body = bodies.find(({ writtenBytes, grantedBytes }) => writtenBytes < grantedBytes);
      if (body === undefined) return;
      bodies = bodies.filter((other) => other !== body);
      if (writePiece(body) > 0) bodies.push(body);
    }
  }

  function addTransfer(to: Uplink, body: LargeBody, targetAtMs: number): void {
    if (socket.destroyed) return;
    const countRemainingBytes = (): number => body.bytes.byteLength - body.writtenBytes;
    const transfer: UplinkTransfer = {
      targetAtMs,
      countRemainingBytes,
      isWritable: () => !socket.destroyed && !socket.writableNeedDrain,
      writePiece: () => {
        const beforeBytes = countRemainingBytes();
        if (writePiece(body) === 0) transfers.delete(body.id);
        return beforeBytes - countRemainingBytes();
      },
    };
    transfers.set(body.id, transfer);
    to.add(transfer);
  }

  function removeTransfer(id: number): void {
    const transfer = transfers.get(id);
    transfers.delete(id);
    if (transfer !== undefined) uplink?.remove(transfer);
  }

  /** Writes the next piece, after the last one also the message. Returns the bytes that are left. */
  function writePiece(largeBody: LargeBody): number {
    const body = largeBody;
    const nextBytes = Math.min(body.writtenBytes + PIECE_BYTES, body.grantedBytes);
    const end = Math.min(body.bytes.byteLength, nextBytes);
    write([pieceKind, body.id, body.bytes.subarray(body.writtenBytes, end)]);
    body.writtenBytes = end;
    if (end === body.bytes.byteLength) write(body.buildMessage());
    return body.bytes.byteLength - end;
  }
}

import type { Socket } from 'node:net';
import { encodeMessage, type Message, MessageKind } from './CactusdealRelayFrames.js';

/** Writes messages to a link; large bodies go in pieces between the other messages. */
export interface LinkWriter {
  write(message: Message): void;
  /**
   * Writes `body` in pieces, then the message that `buildMessage` builds at that moment, to which the body
   * belongs.
   */
  writeLarge(id: number, body: Uint8Array, buildMessage: () => Message): void;
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
}

/** Size of a piece; also the size above which a body is written in pieces. */
export const PIECE_BYTES = 16 * 1024;

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
  pieceKind: PieceKind = MessageKind.AnswerPiece,
): LinkWriter {
  let bodies: LargeBody[] = [];
  socket.on('drain', writePieces);
  return {
    write,
    writeLarge: (id, bytes, buildMessage) => {
      bodies.push({ id, bytes, buildMessage, writtenBytes: 0 });
      writePieces();
    },
    discard: (id) => {
      bodies = bodies.filter((body) => body.id !== id);
    },
  };

  function write(message: Message): void {
    if (!socket.destroyed) socket.write(encodeMessage(message));
  }

  function writePieces(): void {
    while (!socket.destroyed && !socket.writableNeedDrain) {
      const body = bodies.shift();
      if (body === undefined) return;
      writePiece(body);
    }
  }

  function writePiece(largeBody: LargeBody): void {
    const body = largeBody;
    const end = Math.min(body.bytes.byteLength, body.writtenBytes + PIECE_BYTES);
    write([pieceKind, body.id, body.bytes.subarray(body.writtenBytes, end)]);
    body.writtenBytes = end;
    if (end < body.bytes.byteLength) bodies.push(body);
    else write(body.buildMessage());
  }
}

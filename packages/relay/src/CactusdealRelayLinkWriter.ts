import type { Socket } from 'node:net';
import { encodeMessage, type Message, MessageKind } from './CactusdealRelayFrames.js';

/** Writes messages to a link; large answers go in pieces between the other messages. */
export interface LinkWriter {
  write(message: Message): void;
  /** Writes `body` in pieces, then `message`, which ends the call with this id. */
  writeLarge(id: number, body: Uint8Array, message: Message): void;
  /** Discards what is left of the large answer to the call with this id. */
  discard(id: number): void;
}

/** The part of a socket that the writer uses. */
export type LinkSocket = Pick<Socket, 'destroyed' | 'writableNeedDrain' | 'write' | 'on'>;

/** An answer of which some pieces are not written yet. */
interface LargeAnswer {
  readonly id: number;
  readonly body: Uint8Array;
  readonly message: Message;
  writtenBytes: number;
}

/** Size of a piece; also the size above which an answer is written in pieces. */
export const PIECE_BYTES = 16 * 1024;

/**
 * Creates the writer of one link.
 *
 * Load pattern: large answers beside small calls on a narrow link. A large answer that was written at
 * once would hold up every message behind it for its whole transfer time. Pieces of all large answers
 * take turns, and the next one is written only when the socket has passed on the last, so a small
 * message waits for the data that the socket holds already and no more.
 */
export function createLinkWriter(socket: LinkSocket): LinkWriter {
  let answers: LargeAnswer[] = [];
  socket.on('drain', writePieces);
  return {
    write,
    writeLarge: (id, body, message) => {
      answers.push({ id, body, message, writtenBytes: 0 });
      writePieces();
    },
    discard: (id) => {
      answers = answers.filter((answer) => answer.id !== id);
    },
  };

  function write(message: Message): void {
    if (!socket.destroyed) socket.write(encodeMessage(message));
  }

  function writePieces(): void {
    while (!socket.destroyed && !socket.writableNeedDrain) {
      const answer = answers.shift();
      if (answer === undefined) return;
      writePiece(answer);
    }
  }

  function writePiece(largeAnswer: LargeAnswer): void {
    const answer = largeAnswer;
    const end = Math.min(answer.body.byteLength, answer.writtenBytes + PIECE_BYTES);
    write([MessageKind.AnswerPiece, answer.id, answer.body.subarray(answer.writtenBytes, end)]);
    answer.writtenBytes = end;
    if (end < answer.body.byteLength) answers.push(answer);
    else write(answer.message);
  }
}

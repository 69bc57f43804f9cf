import type { Socket } from 'node:net';
import { encodeMessage, type Message, MessageKind } from './CactusdealRelayFrames.js';
import type { Uplink } from './CactusdealRelayUplink.js';
import type { UplinkTransfer } from './CactusdealRelayUplinkSchedule.js';

/** Writes messages to a link; large answers go in pieces between the other messages. */
export interface LinkWriter {
  write(message: Message): void;
  /**
   * Writes `body` in pieces, then `message`, which ends the call with this id. `targetAtMs` is the time
   * by which the caller wants it.
   */
  writeLarge(id: number, body: Uint8Array, message: Message, targetAtMs?: number): void;
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

/** Target of an answer that names none. */
const NO_TARGET_AT_MS = Number.MAX_SAFE_INTEGER;
/** Size of a piece; also the size above which an answer is written in pieces. */
export const PIECE_BYTES = 16 * 1024;

/**
 * Creates the writer of one link.
 *
 * Load pattern: large answers beside small calls on a narrow link. A large answer that was written at
 * once would hold up every message behind it for its whole transfer time. Pieces of all large answers
 * take turns, and the next one is written only when the socket has passed on the last, so a small
 * message waits for the data that the socket holds already and no more. With an `uplink`, that decides
 * over all links which large answer is written next.
 */
export function createLinkWriter(socket: LinkSocket, uplink?: Uplink): LinkWriter {
  let answers: LargeAnswer[] = [];
  const transfers = new Map<number, UplinkTransfer>();
  socket.on('drain', () => (uplink === undefined ? writePieces() : uplink.run()));
  socket.on('close', () => [...transfers.keys()].forEach(removeTransfer));
  return {
    write,
    writeLarge: (id, body, message, targetAtMs = NO_TARGET_AT_MS) => {
      const answer = { id, body, message, writtenBytes: 0 };
      if (uplink !== undefined) {
        addTransfer(uplink, answer, targetAtMs);
        return;
      }
      answers.push(answer);
      writePieces();
    },
    discard: (id) => {
      removeTransfer(id);
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
      if (writePiece(answer) > 0) answers.push(answer);
    }
  }

  function addTransfer(to: Uplink, answer: LargeAnswer, targetAtMs: number): void {
    if (socket.destroyed) return;
    const countRemainingBytes = (): number => answer.body.byteLength - answer.writtenBytes;
    const transfer: UplinkTransfer = {
      targetAtMs,
      countRemainingBytes,
      isWritable: () => !socket.destroyed && !socket.writableNeedDrain,
      writePiece: () => {
        const beforeBytes = countRemainingBytes();
        if (writePiece(answer) === 0) transfers.delete(answer.id);
        return beforeBytes - countRemainingBytes();
      },
    };
    transfers.set(answer.id, transfer);
    to.add(transfer);
  }

  function removeTransfer(id: number): void {
    const transfer = transfers.get(id);
    transfers.delete(id);
    if (transfer !== undefined) uplink?.remove(transfer);
  }

  /** Writes the next piece, after the last one also the end. Returns the bytes that are left. */
  function writePiece(largeAnswer: LargeAnswer): number {
    const answer = largeAnswer;
    const end = Math.min(answer.body.byteLength, answer.writtenBytes + PIECE_BYTES);
    write([MessageKind.AnswerPiece, answer.id, answer.body.subarray(answer.writtenBytes, end)]);
    answer.writtenBytes = end;
    if (end === answer.body.byteLength) write(answer.message);
    return answer.body.byteLength - end;
  }
}

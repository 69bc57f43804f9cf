import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { describe, it } from 'node:test';
import { createMessageReader, type Message, MessageKind } from '../../CactusdealRelayFrames.js';
import {
  createLinkWriter,
  type LinkSocket,
  type LinkWriter,
  PIECE_BYTES,
} from '../../CactusdealRelayLinkWriter.js';
import { createUplink } from '../../CactusdealRelayUplink.js';

/** A socket that takes one write and then none until `passOn`. */
class NarrowSocket extends EventEmitter {
  public readonly destroyed = false;

  public writableNeedDrain = false;

  public readonly messages: Message[] = [];

  private readonly reader = createMessageReader((message) => this.messages.push(message));

  public write(chunk: Buffer): boolean {
    this.reader.read(chunk);
    this.writableNeedDrain = true;
    return false;
  }

  public passOn(): void {
    this.writableNeedDrain = false;
    this.emit('drain');
  }
}

const end = (id: number): Message => [MessageKind.Answer, id];
const body = (pieces: number): Uint8Array => new Uint8Array(pieces * PIECE_BYTES);

/** Kind and call id of each message in the order in which they were written. */
const format = ([kind, id]: Message): string =>
  kind === MessageKind.AnswerPiece || kind === MessageKind.CallPiece
    ? `piece ${String(id)}`
    : `end ${String(id)}`;

interface Case {
  readonly name: string;
  /** What is asked of the writer before the socket passes on anything. */
  readonly steps: readonly ((writer: LinkWriter) => void)[];
  readonly expected: readonly string[];
}

const cases: readonly Case[] = [
  {
    name: 'a small answer before the rest of a large one',
    steps: [
      (writer) => writer.writeLarge(1, body(3), () => end(1)),
      (writer) => writer.write(end(2)),
    ],
    expected: ['piece 1', 'end 2', 'piece 1', 'piece 1', 'end 1'],
  },
  {
    name: 'the end of an answer right after its last piece',
    steps: [
      (writer) => writer.writeLarge(1, body(2), () => end(1)),
      (writer) => writer.writeLarge(2, body(2), () => end(2)),
    ],
    expected: ['piece 1', 'piece 1', 'end 1', 'piece 2', 'piece 2', 'end 2'],
  },
  {
    name: 'the pieces of large answers that wait in turn',
    steps: [
      (writer) => writer.write(end(9)),
      (writer) => writer.writeLarge(1, body(2), () => end(1)),
      (writer) => writer.writeLarge(2, body(1), () => end(2)),
    ],
    expected: ['end 9', 'piece 1', 'piece 2', 'end 2', 'piece 1', 'end 1'],
  },
  {
    name: 'nothing more of an answer that is discarded',
    steps: [(writer) => writer.writeLarge(1, body(3), () => end(1)), (writer) => writer.discard(1)],
    expected: ['piece 1'],
  },
];

describe('writer of a narrow link', () => {
  cases.forEach(({ name, steps, expected }) => {
    it(`writes ${name}`, () => {
      const socket = new NarrowSocket();
      const writer = createLinkWriter(socket as unknown as LinkSocket);
      steps.forEach((step) => step(writer));
      for (let round = 0; round < 10; round += 1) socket.passOn();
      assert.deepEqual(socket.messages.map(format), expected);
    });
  });

  it('leaves the uplink to other links when its own ends midway', () => {
    const uplink = createUplink(1_000_000, () => 0);
    const ending = new NarrowSocket();
    const other = new NarrowSocket();
    const [first, second] = [ending, other].map((socket) =>
      createLinkWriter(socket as unknown as LinkSocket, { uplink }),
    );
    first?.writeLarge(1, body(3), () => end(1), 100);
    first?.writeLarge(2, body(3), () => end(2), 200);
    second?.writeLarge(3, body(2), () => end(3), 300);
    ending.emit('close');
    assert.equal(uplink.countWaitingBytes(), PIECE_BYTES);
    other.passOn();
    uplink.close();
    assert.equal(uplink.countWaitingBytes(), 0);
    assert.deepEqual(other.messages.map(format), ['piece 3', 'piece 3', 'end 3']);
  });
});

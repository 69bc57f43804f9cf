import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type BodyState,
  createBodyReservations,
  findEvictedBody,
} from '../../CactusdealRelayBodyReservations.js';
import { encodeMessage, encodeParts, type Message } from '../../CactusdealRelayFrames.js';
import { createMemoryBudgets } from '../../CactusdealRelayMemory.js';

const MB = 1024 * 1024;
const NOW_MS = 10_000;

const reads = (heldBytes: number, silentMs: number): BodyState => ({
  heldBytes,
  lastAtMs: NOW_MS - silentMs,
  isWaiting: false,
});
const waits = (heldBytes: number): BodyState => ({ ...reads(heldBytes, 2_000), isWaiting: true });

const evictionCases: readonly {
  readonly name: string;
  readonly bodies: readonly BodyState[];
  readonly waiter: number;
  readonly expected: number | undefined;
}[] = [
  {
    name: 'none while others arrive',
    bodies: [reads(9, 10), waits(9)],
    waiter: 1,
    expected: undefined,
  },
  { name: 'one that stands still', bodies: [reads(9, 400), waits(9)], waiter: 1, expected: 0 },
  {
    name: 'the one that stands still for longest',
    bodies: [reads(9, 400), reads(9, 900), waits(9)],
    waiter: 2,
    expected: 1,
  },
  {
    name: 'none that holds nothing',
    bodies: [reads(0, 900), waits(9)],
    waiter: 1,
    expected: undefined,
  },
  { name: 'the last that waits', bodies: [waits(9), waits(9), waits(9)], waiter: 0, expected: 2 },
  {
    name: 'none that waits and came first',
    bodies: [waits(9), waits(9)],
    waiter: 1,
    expected: undefined,
  },
];

/** If bodies that stand still kept their room, one crowd of them would shut out all large bodies. */
describe('room for a waiting body is taken from', () => {
  evictionCases.forEach(({ name, bodies, waiter, expected }) => {
    it(name, () => assert.equal(findEvictedBody(bodies, waiter, NOW_MS), expected));
  });
});

describe('a room for bodies', () => {
  it("serves the oldest of two bodies that need each other's room, and refuses the other", async () => {
    const budgets = createMemoryBudgets();
    const reservations = createBodyReservations(budgets.callers, () => NOW_MS);
    const refused: string[] = [];
    const first = reservations.reserve(() => refused.push('first'));
    const second = reservations.reserve(() => {
      refused.push('second');
      second.release(32 * MB);
    });
    assert.ok(first.take(32 * MB) && second.take(32 * MB));
    await new Promise<void>((resolve) => {
      second.wait(() => second.take(MB));
      first.wait(() => {
        const isGranted = first.take(MB);
        if (isGranted) resolve();
        return isGranted;
      });
    });
    assert.deepEqual(refused, ['second']);
  });
});

describe('the budgets of a host', () => {
  it('stay within its memory together, each byte with a copy', () => {
    const { callers, links, answers } = createMemoryBudgets(250 * MB);
    assert.ok(callers.take(64 * MB), 'one body of the largest limit has room');
    assert.ok(!links.take(8 * MB) && !answers.take(8 * MB));
    callers.release(64 * MB);
    assert.ok(links.take(65 * MB));
    assert.ok(!callers.take(8 * MB));
  });

  it('are those of each part alone without it', () => {
    const { callers, links, answers } = createMemoryBudgets();
    assert.ok(callers.take(64 * MB) && links.take(96 * MB) && answers.take(64 * MB));
    assert.ok(!callers.take(1) && !links.take(1) && !answers.take(1));
  });

  it('collect garbage when much was released', async () => {
    const collected = new Promise<void>((resolve) => {
      const { callers } = createMemoryBudgets(250 * MB, resolve);
      callers.take(30 * MB);
      callers.release(30 * MB);
    });
    await collected;
  });
});

describe('a message in parts', () => {
  const large = Buffer.alloc(70_000, 'x');
  const messages: readonly Message[] = [
    [2, 'small', Buffer.from('x')],
    [2, 7, 'service', ['a', 'b'], large, 1.5, true, undefined, null],
    [2, large],
  ];
  messages.forEach((message, index) => {
    it(`has the bytes of the whole, without a copy of a large field: ${index}`, () => {
      const parts = encodeParts(message);
      assert.deepEqual(Buffer.concat(parts), encodeMessage(message));
      assert.equal(parts.includes(large), message.includes(large));
    });
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { CrashNotice } from '@cactusdeal/quarantine';
import { createSilentLog } from '@cactusdeal/shared';
import { createCrashExchange, type CrashExchange } from '../../CactusdealRelayCrashExchange.js';

/** Daemons in a row, each linked to the next one only. */
const DAEMONS = 4;

interface Case {
  readonly name: string;
  /** Daemons whose upstreams the request crashed, in this order. */
  readonly crashedAt: readonly number[];
  /** Daemons that refuse the request then. */
  readonly refusedAt: readonly number[];
}

const cases: readonly Case[] = [
  { name: 'one crash', crashedAt: [0], refusedAt: [] },
  { name: 'crashes at linked daemons', crashedAt: [0, 1], refusedAt: [0, 1, 2, 3] },
  {
    name: 'crashes at daemons with a common neighbour',
    crashedAt: [0, 2],
    refusedAt: [0, 1, 2, 3],
  },
  { name: 'crashes too far apart to be added', crashedAt: [0, 3], refusedAt: [] },
  { name: 'three crashes', crashedAt: [0, 3, 1], refusedAt: [0, 1, 2, 3] },
];

describe('the exchange of crashes', () => {
  cases.forEach(({ name, crashedAt, refusedAt }) => {
    it(`refuses a request at ${refusedAt.length} daemons after ${name}`, async () => {
      const exchanges = createRow();
      for (const index of crashedAt) {
        exchanges[index]?.quarantine.recordCrash('a', 1);
        await settleNotices();
      }
      const refusing = exchanges.flatMap(({ quarantine }, index) =>
        quarantine.getRemainingMs('a') > 0 ? [index] : [],
      );
      assert.deepEqual(refusing, refusedAt);
    });
  });

  it('tells a daemon that starts later', async () => {
    const [first] = createRow() as [CrashExchange];
    first.receive([
      { source: 'x', fingerprint: 'a', crashes: 1, inFlight: 1, ageMs: 0 },
      { source: 'y', fingerprint: 'a', crashes: 1, inFlight: 1, ageMs: 0 },
      { source: 'y', fingerprint: 'b', crashes: 1, inFlight: 1, ageMs: 0 },
    ]);
    await settleNotices();
    const told = first.quarantine.listNotices().map(({ source }) => source);
    assert.deepEqual(told.sort(), ['x', 'y']);
  });
});

function createRow(): readonly CrashExchange[] {
  const exchanges: CrashExchange[] = [];
  for (let index = 0; index < DAEMONS; index += 1) {
    const send = (notices: readonly CrashNotice[]): void => {
      exchanges[index - 1]?.receive(notices);
      exchanges[index + 1]?.receive(notices);
    };
    const source = `d${index}`;
    exchanges.push(createCrashExchange({ source, clock: () => 0, log: createSilentLog(), send }));
  }
  return exchanges;
}

/** Notices are sent in a microtask; each hop takes one more. */
async function settleNotices(): Promise<void> {
  for (let hop = 0; hop < DAEMONS * DAEMONS; hop += 1) await Promise.resolve();
}

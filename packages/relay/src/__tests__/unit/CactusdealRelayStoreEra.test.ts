import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilentLog } from '@cactusdeal/shared';
import { decode, encode } from 'cbor-x';
import { type Message, MessageKind } from '../../CactusdealRelayFrames.js';
import {
  checkReading,
  chooseWatch,
  computeSpreadMs,
  createStoreEra,
  EraOrigin,
  isPositionUsable,
  isRecordLost,
  ReadingVerdict,
  WatchKind,
} from '../../CactusdealRelayStoreEra.js';
import { parseHello, parseStatus, toHelloMessage } from '../../CactusdealRelayWire.js';

interface Case {
  readonly name: string;
  /** Era of the response, and the highest one that the daemon knows. */
  readonly response: number;
  readonly known: number;
  /** Era of the revision from which it watched; undefined if it read everything. */
  readonly watched: number | undefined;
  readonly verdict: ReadingVerdict;
  /** Whether it may watch from that revision. */
  readonly isUsable?: boolean;
  /** Whether a record of era `watched` has to be written again once the response is known. */
  readonly isLost: boolean;
}

const { Continue, ReadAgain, Outdated } = ReadingVerdict;

const cases: readonly Case[] = [
  {
    name: 'a store without eras',
    ...{ response: 0, known: 0, watched: 0, verdict: Continue, isUsable: true, isLost: false },
  },
  {
    name: 'nothing has happened',
    ...{ response: 3, known: 3, watched: 3, verdict: Continue, isUsable: true, isLost: false },
  },
  {
    name: 'restored during the watch, from a revision that was assigned again',
    ...{ response: 4, known: 3, watched: 3, verdict: ReadAgain, isUsable: true, isLost: true },
  },
  {
    name: 'restored twice in a row',
    ...{ response: 5, known: 3, watched: 3, verdict: ReadAgain, isUsable: true, isLost: true },
  },
  {
    name: 'restored, as another daemon has told before the response',
    ...{ response: 4, known: 4, watched: 3, verdict: ReadAgain, isUsable: false, isLost: true },
  },
  {
    name: 'a late response, or a connection from before the restore',
    ...{ response: 3, known: 4, watched: 3, verdict: Outdated, isUsable: false, isLost: true },
  },
  {
    name: 'a connection from before the second of two restores',
    ...{ response: 4, known: 5, watched: 4, verdict: Outdated, isUsable: false, isLost: true },
  },
  {
    name: 'everything read after the restore',
    ...{ response: 4, known: 4, watched: undefined, verdict: Continue, isLost: false },
  },
  {
    name: 'everything read, on a connection from before the restore',
    ...{ response: 3, known: 4, watched: undefined, verdict: Outdated, isLost: false },
  },
  {
    name: 'everything read from a store that was restored while a data centre was partitioned',
    ...{ response: 4, known: 3, watched: undefined, verdict: Continue, isLost: false },
  },
  {
    name: 'the first response after the start',
    ...{ response: 4, known: 0, watched: undefined, verdict: Continue, isLost: false },
  },
  {
    name: 'a store that begins to name eras',
    ...{ response: 1, known: 0, watched: 0, verdict: ReadAgain, isUsable: true, isLost: true },
  },
];

describe('era of the store', () => {
  cases.forEach(({ name, response, known, watched, verdict, isUsable, isLost }) => {
    it(`decides on revisions and records: ${name}`, () => {
      const position = watched === undefined ? undefined : { revision: 7, era: watched };
      assert.equal(checkReading(response, known, position), verdict);
      if (position !== undefined) assert.equal(isPositionUsable(position, known), isUsable);
      assert.equal(isRecordLost(watched, Math.max(known, response)), isLost);
    });
  });

  it('never falls, and tells each rise once with its origin', () => {
    const era = createStoreEra(createSilentLog());
    const rises: string[] = [];
    era.subscribe((origin) => rises.push(`${era.get()} ${origin}`));
    [0, 2, 1, 2, 5, 4].forEach((next) => era.record(next, EraOrigin.Platform));
    era.record(6, EraOrigin.Daemon);
    assert.deepEqual(rises, ['2 platform', '5 platform', '6 daemon']);
  });

  it('is asked for by a short watch after a failure, if the store names eras', () => {
    assert.equal(chooseWatch(0, true), WatchKind.Plain);
    assert.equal(chooseWatch(1, true), WatchKind.Check);
    assert.equal(chooseWatch(1, false), WatchKind.Restorable);
  });

  it('spreads the writes of records so that the store can take them', () => {
    assert.equal(computeSpreadMs(72), computeSpreadMs(0));
    assert.ok(16_000 / computeSpreadMs(16_000) < 1.2);
  });

  it('crosses a link, and is absent from the messages of an earlier release', () => {
    const member = { id: 'd1', dataCentre: 'west', service: 'records', address: '127.0.0.1:1' };
    const status = { version: 1, platformAgeMs: -1, storeEra: 4 };
    const hello = decode(encode(toHelloMessage(member, status, 1))) as Message;
    assert.deepEqual(parseHello(hello).status, status);
    assert.equal(parseHello(hello.slice(0, 8) as unknown as Message).status.storeEra, 0);
    [undefined, -1, 'x', 1e300].forEach((field) => {
      assert.equal(parseStatus([MessageKind.Status, 1, -1, field]).storeEra, 0);
    });
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Left, Right } from 'purify-ts';
import { createSilentLog, getMonotonicMs, waitMs } from '@cactusdeal/shared';
import { createConfigurations } from '../../CactusdealRelayConfigurations.js';
import type { Members } from '../../CactusdealRelayMembers.js';
import type { Peer } from '../../CactusdealRelayPeer.js';
import { createStoreEra } from '../../CactusdealRelayStoreEra.js';
import { type ConfigurationSource, PlatformFaultKind } from '../../CactusdealRelayPorts.js';
import { waitUntil } from '../CactusdealRelayTestCluster.js';

const DATA_CENTRE = 'west';
const SHORT_WATCH_MS = 2_500;
const LONG_WATCH_MS = 25_000;
const NOT_READING = -1;

type Reading = Awaited<ReturnType<ConfigurationSource['read']>>;
const NOTHING_NEW: Reading = Right({ sources: [], revision: 1 });

/** Options of the daemon in the test, `d5`. */
const OPTIONS = {
  self: { id: 'd5', dataCentre: DATA_CENTRE, service: 'records', address: '127.0.0.1:1' },
  clock: getMonotonicMs,
  random: () => 0.5,
  storeEra: createStoreEra(createSilentLog()),
  log: createSilentLog(),
  observe: () => {},
  recordRejection: () => {},
  observePlatform: () => {},
};

/** Age of the last read of each other daemon, by id; changed by the tests. */
type Ages = Record<string, number>;

interface Case {
  readonly name: string;
  readonly ages: Ages;
  /** Longest wait of the daemon's first watch; undefined if it does not read. */
  readonly watchMs: number | undefined;
}

const cases: readonly Case[] = [
  { name: 'watches with short waits as the only daemon', ages: {}, watchMs: SHORT_WATCH_MS },
  {
    name: 'watches with short waits while daemons with lower ids fail to read',
    ages: { d1: NOT_READING, d2: NOT_READING, d9: 0 },
    watchMs: SHORT_WATCH_MS,
  },
  {
    name: 'watches with long waits beside one reader',
    ages: { d1: 100, d2: NOT_READING },
    watchMs: LONG_WATCH_MS,
  },
  { name: 'does not read beside two readers', ages: { d1: 100, d2: 0 }, watchMs: undefined },
];

describe('role of a daemon that may read from the platform', () => {
  cases.forEach(({ name, ages, watchMs }) => {
    it(name, async () => {
      const { waits, configurations } = startReader(ages);
      await waitMs(50);
      assert.equal(waits[0], watchMs);
      configurations.close();
    });
  });

  it('passes from standby to primary as soon as the primary fails', async () => {
    const ages: Ages = { d1: 100 };
    const { waits, configurations } = startReader(ages);
    await waitUntil(() => waits.length === 1, 'the standby watches');
    const { platformAgeMs } = configurations.getStatus();
    assert.equal(platformAgeMs, 0, 'others count the standby as a reader');
    ages.d1 = NOT_READING;
    await waitUntil(() => waits.length === 2, 'the long watch is cut');
    assert.deepEqual(waits, [LONG_WATCH_MS, SHORT_WATCH_MS]);
    configurations.close();
  });

  it('is told to the others as soon as reading fails, and as it works again', async () => {
    const told: boolean[] = [];
    let answer: Reading = NOTHING_NEW;
    const read = async (): Promise<Reading> => {
      await waitMs(1);
      return answer;
    };
    const configurations = createConfigurations({
      ...OPTIONS,
      source: { ...createSilentSource([]), read, watch: read },
      observePlatform: () => told.push(configurations.getStatus().platformAgeMs >= 0),
    });
    void configurations.run(createMembers({}));
    await waitUntil(() => told.length === 1, 'told that it reads');
    answer = Left({ kind: PlatformFaultKind.NotDone, message: 'status 503' });
    await waitUntil(() => told.length === 2, 'told that it fails');
    answer = NOTHING_NEW;
    await waitUntil(() => told.length === 3, 'told that it reads again');
    assert.deepEqual(told, [true, false, true]);
    configurations.close();
  });
});

function startReader(ages: Ages) {
  const waits: number[] = [];
  const configurations = createConfigurations({ ...OPTIONS, source: createSilentSource(waits) });
  void configurations.run(createMembers(ages));
  return { waits, configurations };
}

/** A source without versions that records the wait of each watch. */
function createSilentSource(waits: number[]): ConfigurationSource {
  return {
    read: () => Promise.resolve(Right({ sources: [], revision: 1 })),
    watch: async (revision, durationMs, signal) => {
      waits.push(durationMs);
      await waitMs(durationMs, signal);
      if (!signal.aborted) return Right({ sources: [], revision });
      return Left({ kind: PlatformFaultKind.Unknown, message: 'aborted' });
    },
    decode: () => Left({ kind: 'ConfigurationInvalid', message: 'there is none' }),
  };
}

function createMembers(ages: Ages): Members {
  const list = (): readonly Peer[] =>
    Object.keys(ages).map((id) => {
      const member = { id, dataCentre: DATA_CENTRE };
      const getStatus = () => ({
        version: 0,
        platformAgeMs: ages[id] ?? NOT_READING,
        atMs: getMonotonicMs(),
      });
      return { member, getStatus } as unknown as Peer;
    });
  return { list } as unknown as Members;
}

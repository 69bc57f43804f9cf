import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilentLog, getMonotonicMs, waitMs } from '@cactusdeal/shared';
import { Left, Right } from 'purify-ts';
import { createConfigurations } from '../../CactusdealRelayConfigurations.js';
import type { Members } from '../../CactusdealRelayMembers.js';
import type { Peer } from '../../CactusdealRelayPeer.js';
import type { ConfigurationReading } from '../../CactusdealRelayPorts.js';
import { createRegistration } from '../../CactusdealRelayRegistration.js';
import { createStoreEra, EraOrigin } from '../../CactusdealRelayStoreEra.js';
import type { Member } from '../../CactusdealRelayTypes.js';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import { waitUntil } from '../CactusdealRelayTestCluster.js';

const self: Member = { id: 'd5', dataCentre: 'west', service: 'records', address: '127.0.0.1:1' };
const log = createSilentLog();
const common = { self, clock: getMonotonicMs, random: () => 0, log };

/** A store with one version; its watches wait until they are cut. */
function startReader(peers: readonly Peer[]) {
  const storeEra = createStoreEra(log);
  const store = { version: 3, revision: 50, era: 1 };
  const requests: string[] = [];
  const getReading = (): ConfigurationReading => ({ ...store, sources: [String(store.version)] });
  const configurations = createConfigurations({
    ...common,
    storeEra,
    source: {
      read: async () => {
        requests.push('read');
        await waitMs(1);
        return Right(getReading());
      },
      watch: async (revision, durationMs, signal) => {
        requests.push(`watch ${revision}`);
        await waitMs(durationMs, signal);
        return Right({ ...getReading(), sources: [] });
      },
      decode: (text) => Right({ ...buildConfiguration([buildRule()], Number(text)), source: text }),
    },
    observe: () => {},
    recordRejection: () => {},
    observePlatform: () => {},
  });
  void configurations.run({ list: () => peers } as unknown as Members);
  return { configurations, storeEra, store, requests };
}

const primary = {
  member: { ...self, id: 'd1' },
  getStatus: () => ({ version: 3, platformAgeMs: 0, atMs: getMonotonicMs() }),
} as unknown as Peer;

describe('reader of a store that comes back from an old copy', () => {
  it('reads again as a standby in a long watch, as soon as another daemon tells it', async (context) => {
    const { configurations, storeEra, store, requests } = startReader([primary]);
    context.after(() => configurations.close());
    await waitUntil(() => requests.length === 2, 'the standby watches');
    Object.assign(store, { version: 4, revision: 20, era: 2 });
    storeEra.record(2, EraOrigin.Daemon);
    await waitUntil(() => configurations.getStatus().version === 4, 'the new version is in force');
    await waitUntil(() => requests.length === 4, 'it watches again');
    assert.deepEqual(requests, ['read', 'watch 50', 'read', 'watch 20']);
  });

  it('keeps its version when the copy holds an older one', async (context) => {
    const { configurations, storeEra, store, requests } = startReader([primary]);
    context.after(() => configurations.close());
    await waitUntil(() => requests.length === 2, 'the standby watches');
    Object.assign(store, { version: 2, revision: 20, era: 2 });
    storeEra.record(2, EraOrigin.Daemon);
    await waitUntil(() => requests.length === 4, 'it watches again');
    assert.deepEqual(requests.slice(2), ['read', 'watch 20']);
    assert.equal(configurations.getStatus().version, 3);
  });

  it('does not count as a reader while it gets responses from before the restore', async (context) => {
    const { configurations, storeEra, store, requests } = startReader([]);
    context.after(() => configurations.close());
    await waitUntil(() => requests.length === 2, 'it watches');
    storeEra.record(2, EraOrigin.Daemon);
    await waitUntil(() => configurations.getStatus().platformAgeMs < 0, 'it fails');
    assert.equal(configurations.getStatus().storeEra, 2);
    store.era = 2;
    await waitUntil(() => configurations.getStatus().platformAgeMs >= 0, 'it reads again');
    assert.ok(!requests.slice(2, -1).includes('watch 50'), 'no watch from the old revision');
  });
});

interface Case {
  readonly name: string;
  /** Eras that other daemons tell of, one after the other. */
  readonly told: readonly number[];
  /** Eras that the store names in its responses to writes, in order; the last one repeats. */
  readonly written: readonly number[];
  readonly writes: number;
}

const cases: readonly Case[] = [
  { name: 'once', told: [2], written: [2], writes: 1 },
  { name: 'again after another restore during the write', told: [2], written: [2, 3], writes: 2 },
  {
    name: 'once after two restores that were told together',
    told: [2, 3],
    written: [3],
    writes: 1,
  },
  { name: 'until a response is not from before it', told: [2], written: [1, 2], writes: 2 },
];

describe('record of a daemon after a restore', () => {
  cases.forEach(({ name, told, written, writes }) => {
    it(`is written ${name}, and the list forgets none`, async (context) => {
      const storeEra = createStoreEra(log);
      const calls: string[] = [];
      let listEra = 1;
      const registration = createRegistration({
        ...common,
        storeEra,
        registry: {
          register: async () => {
            const index = calls.filter((call) => call === 'write').length;
            calls.push('write');
            await waitMs(1);
            const era = written[Math.min(index, written.length - 1)] as number;
            if (written[index + 1] === 3) storeEra.record(3, EraOrigin.Daemon);
            listEra = storeEra.get();
            return Right(era);
          },
          remove: () => Promise.resolve(Left({ kind: 'PlatformNotDone', message: 'closed' })),
          list: (isFresh) => {
            calls.push(isFresh ? 'fresh list' : 'list');
            return Promise.resolve(Right({ members: listEra === 1 ? [self] : [], era: listEra }));
          },
        },
      });
      context.after(() => registration.close());
      const members = {
        replace: () => calls.push('replace'),
        merge: () => calls.push('merge'),
        listLost: () => [],
        countConnected: () => 1,
      } as unknown as Members;
      void registration.run(members);
      await waitUntil(() => calls.includes('replace'), 'the record is found');
      told.forEach((era) => storeEra.record(era, EraOrigin.Daemon));
      await waitUntil(() => calls.at(-1) === 'merge', 'a list follows');
      assert.deepEqual(calls.slice(0, 2), ['list', 'replace']);
      const later = calls.slice(2);
      assert.equal(later.filter((call) => call === 'write').length, writes);
      assert.deepEqual(later.slice(-2), ['fresh list', 'merge']);
      assert.ok(!later.includes('replace'));
    });
  });
});

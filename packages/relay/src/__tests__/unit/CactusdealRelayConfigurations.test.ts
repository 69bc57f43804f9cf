import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import { Left, Right } from 'purify-ts';
import { createSilentLog, getMonotonicMs } from '@cactusdeal/shared';
import {
  type Configurations,
  createConfigurations,
  VersionOrigin,
} from '../../CactusdealRelayConfigurations.js';
import type { Peer } from '../../CactusdealRelayPeer.js';
import { createStoreEra } from '../../CactusdealRelayStoreEra.js';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import { waitUntil } from '../CactusdealRelayTestCluster.js';

const HELD_VERSION = 1;

/** A version that a daemon says it holds, or sends. */
interface News {
  readonly from: 'own data centre' | 'other data centre';
  readonly version: number;
  readonly type: 'says' | 'sends';
}

interface Case {
  readonly name: string;
  readonly news: readonly News[];
  /** For each request for an update, who gets it and the version that it names as held. */
  readonly requests: readonly string[];
}

const cases: readonly Case[] = [
  {
    name: 'asks a daemon of its own data centre',
    news: [{ from: 'own data centre', version: 2, type: 'says' }],
    requests: ['own data centre 1'],
  },
  {
    name: 'asks one of another data centre while none of its own brings the version',
    news: [{ from: 'other data centre', version: 2, type: 'says' }],
    requests: ['other data centre 1'],
  },
  {
    name: 'asks none of another data centre for a version that came meanwhile',
    news: [
      { from: 'other data centre', version: 2, type: 'says' },
      { from: 'own data centre', version: 2, type: 'sends' },
      { from: 'other data centre', version: 3, type: 'says' },
    ],
    requests: ['other data centre 2'],
  },
  {
    name: 'asks none for a version that it holds',
    news: [
      { from: 'own data centre', version: HELD_VERSION, type: 'says' },
      { from: 'other data centre', version: HELD_VERSION, type: 'says' },
      { from: 'other data centre', version: 2, type: 'says' },
    ],
    requests: ['other data centre 1'],
  },
];

describe('daemon that hears of a version', () => {
  cases.forEach(({ name, news, requests }) => {
    it(name, async (context) => {
      const found: string[] = [];
      const configurations = createFollower();
      context.after(() => configurations.close());
      sendVersion(configurations, createPeer('own data centre', found), HELD_VERSION);
      news.forEach(({ from, version, type }) => {
        const peer = createPeer(from, found);
        if (type === 'sends') sendVersion(configurations, peer, version);
        else configurations.receiveStatus(peer, { version, platformAgeMs: 0 });
      });
      await waitUntil(() => found.length >= requests.length, 'asks');
      assert.deepEqual(found, requests);
    });
  });
});

function createFollower(): Configurations {
  return createConfigurations({
    self: { id: 'd5', dataCentre: 'own data centre', service: 'records', address: '127.0.0.1:1' },
    source: {
      read: () => Promise.resolve(Right({ sources: [], revision: 1 })),
      watch: () => Promise.resolve(Right({ sources: [], revision: 1 })),
      decode: (text) =>
        Number(text) > 0
          ? Right({ ...buildConfiguration([buildRule()], Number(text)), source: text })
          : Left({ kind: 'ConfigurationInvalid', message: text }),
    },
    clock: getMonotonicMs,
    random: () => 0,
    storeEra: createStoreEra(createSilentLog()),
    log: createSilentLog(),
    observe: (_, origin) => assert.equal(origin, VersionOrigin.Daemon),
    recordRejection: () => {},
    observePlatform: () => {},
  });
}

function createPeer(dataCentre: News['from'], requests: string[]): Peer {
  return {
    member: { id: 'd1', dataCentre },
    requestConfiguration: (version: number) => requests.push(`${dataCentre} ${version}`),
  } as unknown as Peer;
}

function sendVersion(configurations: Configurations, peer: Peer, version: number): void {
  configurations.receiveUpdate(peer, { type: 'whole', bytes: deflateRawSync(String(version)) });
}

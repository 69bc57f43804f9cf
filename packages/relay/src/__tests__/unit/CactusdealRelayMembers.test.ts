import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilentLog } from '@cactusdeal/shared';
import { createMemoryBudgets } from '../../CactusdealRelayMemory.js';
import { createMembers } from '../../CactusdealRelayMembers.js';
import type { Member } from '../../CactusdealRelayTypes.js';
import { NO_CRASHES } from '../CactusdealRelayFixtures.js';

// Nothing listens on these addresses.
const build = (id: string, port = 1): Member => ({
  id,
  dataCentre: 'west',
  service: 'records',
  address: `127.0.0.1:${port}`,
});

interface Case {
  readonly name: string;
  /** Time between the daemon's own word and the list, in milliseconds. */
  readonly elapsedMs: number;
  readonly listed: readonly Member[];
  /** Whether the list is that of a store that has just been restored from an old copy. */
  readonly isRestored?: boolean;
  /** Addresses of the daemons that are known after the list. */
  readonly expected: readonly string[];
}

/** `d2` has connected from port 2 before the list arrives. */
const cases: readonly Case[] = [
  {
    name: 'keeps a daemon that an old list does not hold yet',
    elapsedMs: 1_000,
    listed: [],
    expected: ['127.0.0.1:2'],
  },
  {
    name: "keeps a daemon's new address when an old list holds the last one",
    elapsedMs: 1_000,
    listed: [build('d2', 3)],
    expected: ['127.0.0.1:2'],
  },
  { name: 'forgets a daemon that has left', elapsedMs: 60_000, listed: [], expected: [] },
  {
    name: 'takes the new address of a daemon from a list',
    elapsedMs: 60_000,
    listed: [build('d2', 3)],
    expected: ['127.0.0.1:3'],
  },
  {
    name: 'keeps a daemon that the list of a restored store lacks',
    elapsedMs: 60_000,
    listed: [],
    isRestored: true,
    expected: ['127.0.0.1:2'],
  },
  {
    name: 'adds the daemons of the list of a restored store',
    elapsedMs: 60_000,
    listed: [build('d1'), build('d3', 4)],
    isRestored: true,
    expected: ['127.0.0.1:2', '127.0.0.1:4'],
  },
  {
    name: 'adds the daemons of a list',
    elapsedMs: 0,
    listed: [build('d1'), build('d3', 4)],
    expected: ['127.0.0.1:2', '127.0.0.1:4'],
  },
];

describe('members known to a daemon', () => {
  cases.forEach(({ name, elapsedMs, listed, isRestored = false, expected }) => {
    it(name, () => {
      let nowMs = 0;
      const members = createMembers({
        self: build('d1'),
        getStatus: () => ({ version: 0, platformAgeMs: -1 }),
        receiveStatus: () => {},
        receiveUpdate: () => {},
        checkPause: () => {},
        listDepartures: () => [],
        getLimit: () => undefined,
        recordLimit: () => {},
        receiveDeparture: () => {},
        ...NO_CRASHES,
        clock: () => nowMs,
        linkBytes: createMemoryBudgets().links,
        log: createSilentLog(),
      });
      members.add(build('d2', 2));
      nowMs = elapsedMs;
      if (isRestored) members.merge(listed);
      else members.replace(listed);
      assert.deepEqual(
        members
          .list()
          .map(({ member }) => member.address)
          .sort(),
        expected,
      );
      members.close();
    });
  });
});

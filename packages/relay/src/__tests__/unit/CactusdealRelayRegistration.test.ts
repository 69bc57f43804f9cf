import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilentLog, waitMs } from '@cactusdeal/shared';
import { Right } from 'purify-ts';
import type { Members } from '../../CactusdealRelayMembers.js';
import type { MemberRegistry } from '../../CactusdealRelayPorts.js';
import { createRegistration } from '../../CactusdealRelayRegistration.js';
import { createStoreEra, NO_ERA } from '../../CactusdealRelayStoreEra.js';
import type { Member } from '../../CactusdealRelayTypes.js';
import { waitUntil } from '../CactusdealRelayTestCluster.js';

const build = (id: string, address = `${id}:1`): Member => ({
  id,
  address,
  dataCentre: 'west',
  service: 'records',
});
const self = build('d1');

interface Case {
  readonly name: string;
  readonly listed: readonly Member[];
  /** Daemons of the data centre that were lost without a stop, by this daemon's links. */
  readonly lost?: readonly string[];
  /** Calls to the registry, without lists. */
  readonly expected: readonly string[];
}

const cases: readonly Case[] = [
  { name: 'writes its record if it is missing', listed: [build('d2')], expected: ['write d1'] },
  {
    name: 'writes nothing after a restart at the same address',
    listed: [self, build('d2')],
    expected: [],
  },
  {
    name: 'writes its record after a restart at another address',
    listed: [build('d1', 'old:1')],
    expected: ['write d1'],
  },
  {
    name: 'removes the records of daemons that were lost',
    listed: [self, build('d2'), build('d3')],
    lost: ['d2', 'd3'],
    expected: ['remove d2 d3'],
  },
];

describe('registration of a daemon', () => {
  cases.forEach(({ name, listed, lost = [], expected }) => {
    it(name, async () => {
      const calls: string[] = [];
      const registration = start(() => listed, calls, lost);
      await waitMs(30);
      assert.deepEqual(calls, expected);
      await registration.close();
      assert.equal(calls.at(-1), 'remove d1', 'the record goes with the stop');
    });
  });

  it('writes its record again if another daemon has removed it', async () => {
    let listed: readonly Member[] = [self];
    let nowMs = 0;
    const calls: string[] = [];
    const registration = start(
      () => listed,
      calls,
      [],
      () => nowMs,
    );
    await waitMs(10);
    assert.equal(calls.length, 0);
    listed = [];
    nowMs = 60_000;
    await registration.updateNow();
    await waitUntil(() => calls.includes('write d1'), 'the record is written');
    await registration.close();
  });
});

function start(
  list: () => readonly Member[],
  calls: string[],
  lost: readonly string[],
  clock = () => 0,
) {
  const registry: MemberRegistry = {
    register: ({ id }) => {
      calls.push(`write ${id}`);
      return Promise.resolve(Right(NO_ERA));
    },
    remove: (ids) => {
      calls.push(`remove ${ids.join(' ')}`);
      return Promise.resolve(Right(undefined));
    },
    list: () => Promise.resolve(Right({ members: list(), era: NO_ERA })),
  };
  const members = { replace: () => {}, listLost: () => lost } as unknown as Members;
  const log = createSilentLog();
  const registration = createRegistration({
    self,
    registry,
    storeEra: createStoreEra(log),
    clock,
    random: () => 0.5,
    log,
  });
  void registration.run(members);
  return { close: registration.close, updateNow: () => registration.update(members) };
}

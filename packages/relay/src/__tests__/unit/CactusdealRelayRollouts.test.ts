import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { MessageKind } from '../../CactusdealRelayFrames.js';
import { RolloutPhase } from '../../CactusdealRelayRolloutTypes.js';
import { buildUpstream } from '../CactusdealRelayFixtures.js';
import {
  createDaemons,
  type RolloutDaemon,
  type RolloutDaemons,
  SERVICE,
} from '../CactusdealRelayRolloutDaemons.js';

const ORDER = { service: SERVICE, targetVersion: 'v2', durationMs: 20_000 };
const LATER_ORDER = { ...ORDER, targetVersion: 'v3' };
const { Running, Succeeded, RolledBack } = RolloutPhase;

describe('a rollout', () => {
  let fleet: RolloutDaemons;
  let west: RolloutDaemon;
  let east: RolloutDaemon;

  beforeEach(() => {
    fleet = createDaemons(['west', 'west', 'east', 'east']);
    [west, , east] = fleet.daemons as [RolloutDaemon, RolloutDaemon, RolloutDaemon];
  });
  afterEach(() => fleet.close());

  /** Gives the order and has old and new version answer in both data centres. */
  async function startRollout(targetStatus: number): Promise<void> {
    fleet.giveOrder(ORDER);
    await fleet.wait(500);
    assert.deepEqual(fleet.store.status, { targetVersion: 'v2', phase: Running });
    recordAll(targetStatus);
  }

  function recordAll(targetStatus: number): void {
    fleet.daemons
      .filter(({ isAlive }) => isAlive)
      .forEach((daemon) => {
        daemon.recordResponses('v1', 200);
        daemon.recordResponses('v2', 15, targetStatus);
      });
  }

  function assertPhase(phase: RolloutPhase, daemons = fleet.daemons): void {
    const alive = daemons.filter(({ isAlive }) => isAlive);
    assert.deepEqual(
      alive.map((daemon) => daemon.getPhase()),
      alive.map(() => phase),
    );
  }

  function splitOff(daemon: RolloutDaemon): void {
    fleet.daemons
      .filter(({ member }) => member.dataCentre === daemon.member.dataCentre)
      .forEach((each) => Object.assign(each, { part: 1, reachesStore: false }));
  }

  it('sends nothing without an order', async () => {
    fleet.daemons.forEach(({ rollouts }) =>
      rollouts.setUpstream(buildUpstream({ softwareVersion: 'v2' })),
    );
    recordAll(500);
    await fleet.wait(2_000);
    assert.deepEqual(fleet.messages, []);
  });

  it('of a sound version succeeds before its deadline, and then sends nothing more', async () => {
    await startRollout(200);
    await fleet.wait(10_000);
    assertPhase(Running);
    await fleet.wait(8_000);
    assertPhase(Succeeded);
    const sent = fleet.messages.length;
    await fleet.wait(2_000);
    assert.equal(fleet.messages.length, sent);
  });

  it('without calls to the new version does not succeed', async () => {
    fleet.giveOrder(ORDER);
    await fleet.wait(20_000);
    assertPhase(RolledBack);
    assert.deepEqual(fleet.store.status, { targetVersion: 'v2', phase: RolledBack });
  });

  it('is rolled back although the coordinator of a data centre has ended', async () => {
    await startRollout(200);
    west.isAlive = false;
    recordAll(500);
    await fleet.wait(2_000);
    assertPhase(RolledBack);
  });

  it('has its decision written by others if the daemon that decided ends', async () => {
    await startRollout(200);
    fleet.daemons.forEach((daemon) => Object.assign(daemon, { reachesStore: false }));
    recordAll(500);
    await fleet.wait(2_000);
    west.isAlive = false;
    assert.equal(fleet.store.status?.phase, Running);
    fleet.daemons.forEach((daemon) => Object.assign(daemon, { reachesStore: true }));
    await fleet.wait(2_000);
    assert.equal(fleet.store.status?.phase, RolledBack);
  });

  it('is rolled back everywhere while the store is unavailable, and written afterwards', async () => {
    await startRollout(200);
    fleet.daemons.forEach((daemon) => Object.assign(daemon, { reachesStore: false }));
    recordAll(500);
    await fleet.wait(2_000);
    assertPhase(RolledBack);
    assert.equal(fleet.store.status?.phase, Running);
    fleet.daemons.forEach((daemon) => Object.assign(daemon, { reachesStore: true }));
    await fleet.wait(2_000);
    assert.equal(fleet.store.status?.phase, RolledBack);
  });

  it('never succeeds while the store does not hold it', async () => {
    await startRollout(200);
    fleet.daemons.forEach((daemon) => Object.assign(daemon, { reachesStore: false }));
    await fleet.wait(30_000);
    assertPhase(Running);
  });

  it('never succeeds in a data centre that is cut off, until it hears of it', async () => {
    await startRollout(200);
    splitOff(east);
    await fleet.wait(19_000);
    assert.equal(west.getPhase(), Succeeded);
    assert.notEqual(east.getPhase(), Succeeded);
    fleet.daemons.forEach((daemon) => Object.assign(daemon, { part: 0 }));
    fleet.link();
    assertPhase(Succeeded);
  });

  it('that a data centre rolls back while it is cut off is rolled back by all', async () => {
    await startRollout(200);
    splitOff(east);
    east.recordResponses('v2', 60, 500);
    await fleet.wait(2_000);
    assert.equal(east.getPhase(), RolledBack);
    assert.equal(west.getPhase(), Running);
    fleet.daemons.forEach((daemon) => Object.assign(daemon, { part: 0 }));
    fleet.link();
    assertPhase(RolledBack);
    await fleet.wait(1_000);
    assert.equal(fleet.store.status?.phase, RolledBack);
  });

  it('keeps its final state when the store comes back from an old copy', async () => {
    await startRollout(500);
    await fleet.wait(2_000);
    fleet.store.status = { targetVersion: 'v2', phase: Running };
    fleet.read(west);
    await fleet.wait(2_000);
    assert.equal(fleet.store.status.phase, RolledBack);
    assertPhase(RolledBack);
  });

  it('is replaced by a later order, and its version is not used', async () => {
    await startRollout(200);
    fleet.giveOrder(LATER_ORDER);
    await fleet.wait(1_000);
    assert.deepEqual(fleet.store.status, { targetVersion: 'v3', phase: Running });
    const gates = ['v1', 'v2', 'v3'].map((softwareVersion) => ({ open: true, softwareVersion }));
    const filters = east.rollouts.versions.listFilters(SERVICE, true, () => gates) ?? [];
    const accepted = gates.filter((gate) =>
      filters.some((accepts) => accepts(gate.softwareVersion)),
    );
    assert.deepEqual(accepted, [gates[0]]);
  });

  it('whose status is final does not start again in a daemon that starts', async () => {
    splitOff(east);
    fleet.giveOrder(ORDER);
    fleet.store.status = { targetVersion: 'v2', phase: RolledBack };
    await fleet.wait(1_000);
    assertPhase(RolledBack, [west]);
    const told = fleet.messages.filter(
      ([kind, ...fields]) => kind === MessageKind.RolloutState && fields.includes(Running),
    );
    assert.deepEqual(told, []);
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord, ServiceSummary, WorkerState } from '@cactusdeal/schema';
import { createSeededRandom, pickRandom } from '@cactusdeal/shared';
import fc from 'fast-check';
import type { Broadcast, ReceiveBody } from '../../CactusdealMeshBroadcast.js';
import { createMemberTable } from '../../CactusdealMeshMembers.js';
import { createNotices, NOTICE_LIFETIME_MS } from '../../CactusdealMeshNotices.js';
import type { Peer } from '../../CactusdealMeshPeer.js';
import { createRemoteView } from '../../CactusdealMeshRemoteView.js';
import {
  computeSummaries,
  computeSummariesHash,
  diffSummaries,
  GATES_PER_SUMMARY,
} from '../../CactusdealMeshSummaries.js';

const SEED = 44;
const PEER = {} as Peer;

function createRecord(index: number, service: string, state: WorkerState): MemberRecord {
  return {
    id: `m${index}`,
    dataCentre: 'east',
    incarnation: 1,
    meshAddress: '10.0.0.1:1',
    callsAddress: `10.0.0.1:${index}`,
    adminAddress: '10.0.0.1:3',
    state: 'alive',
    worker: { name: `w${index}`, services: [service], slots: 2, state, readyAtMs: 0 },
  };
}

const anyFleet = fc
  .array(
    fc.tuple(
      fc.constantFrom('paint', 'photos', 'records'),
      fc.constantFrom<WorkerState>('starting', 'ready', 'draining', 'gone'),
    ),
    { maxLength: 20 },
  )
  .map((workers) => workers.map(([service, state], index) => createRecord(index, service, state)));

/** Creates a broadcast that sends nothing; `deliver` calls the receiver of a value. */
function createFakeBroadcast(): Broadcast & { deliver: ReceiveBody } {
  const receivers = new Map<string, ReceiveBody>();
  return {
    publish: () => {},
    receive: (kind, receiveBody) => receivers.set(kind, receiveBody),
    discardExpired: () => {},
    getMaxHops: () => 0,
    deliver: (body, peer) => receivers.get(String(body.kind))?.(body, peer) ?? false,
  };
}

function createView(broadcast: Broadcast) {
  const members = createMemberTable(createRecord(0, 'paint', 'ready'), 1000, () => 0);
  return createRemoteView({ memberId: 'm0', members, broadcast, clock: () => 0, expiryMs: 100 });
}

describe('summaries of services', () => {
  it('count the slots of ready workers, list a few gates, and can be updated by changes alone', () => {
    fc.assert(
      fc.property(anyFleet, anyFleet, (before, after) => {
        const first = computeSummaries('east', before);
        const second = computeSummaries('east', after);
        const ready = after.filter((record) => record.worker?.state === 'ready');
        const slots = [...second.values()].reduce((sum, item) => sum + item.readySlots, 0);
        assert.equal(slots, 2 * ready.length);
        second.forEach((item) => assert.ok(item.gates.length <= GATES_PER_SUMMARY));

        const followed = new Map<string, ServiceSummary>(first);
        diffSummaries('east', first, second).forEach((item) => followed.set(item.service, item));
        const present = [...followed.values()].filter((item) => item.readySlots > 0);
        assert.equal(computeSummariesHash(present), computeSummariesHash([...second.values()]));
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('converge in every daemon, in any order and with duplicates', () => {
    const anyItems = fc.array(
      fc.tuple(fc.constantFrom('paint', 'photos'), fc.nat({ max: 9 }), fc.nat({ max: 3 })),
      { maxLength: 20 },
    );
    fc.assert(
      fc.property(anyItems, fc.integer(), (drawn, seed) => {
        const stamps = new Set<number>();
        const items = drawn
          .filter(([, stampMs]) => stamps.size < stamps.add(stampMs).size)
          .map(([service, stampMs, readySlots]) => ({
            dataCentre: 'west',
            stampMs,
            summary: { dataCentre: 'west', service, readySlots, gates: [] },
          }));
        const views = [0, 1].map(() => {
          const broadcast = createFakeBroadcast();
          return { view: createView(broadcast), broadcast };
        });
        const mixed = pickRandom([...items, ...items], 2 * items.length, createSeededRandom(seed));
        items.forEach((item) =>
          views[0]?.broadcast.deliver({ kind: 'remote', items: [item] }, PEER),
        );
        mixed.forEach((item) =>
          views[1]?.broadcast.deliver({ kind: 'remote', items: [item] }, PEER),
        );
        const [first, second] = views.map(({ view }) => view.getDataCentreDigest('west'));
        assert.deepEqual(first, second);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});

describe('notices', () => {
  it('arrive at most once per id, and never after their expiry', () => {
    let nowMs = 1000;
    const broadcast = createFakeBroadcast();
    const notices = createNotices(broadcast, () => nowMs);
    const received: unknown[] = [];
    notices.received.observe(({ value }) => received.push(value));
    const deliver = (id: string, value: string, expiresAtMs: number) =>
      broadcast.deliver({ kind: 'notice', topic: 't', id, value, expiresAtMs }, PEER);
    assert.ok(deliver('a', 'first', 2000));
    assert.ok(!deliver('a', 'again', 2000));
    assert.ok(!deliver('b', 'late', 1000));
    assert.ok(!broadcast.deliver({ kind: 'notice', topic: 't', id: 7, value: 'x' }, PEER));
    nowMs = 1999;
    assert.ok(!deliver('a', 'again', 3000));
    nowMs += 2 * NOTICE_LIFETIME_MS;
    assert.ok(deliver('a', 'another', nowMs + 1));
    assert.deepEqual(received, ['first', 'another']);
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCountedEntry, createCountingState } from '../../bench/CactusdealMeshBenchState.js';
import type { Mesh } from '../../CactusdealMeshTypes.js';
import {
  closeMeshes,
  countAlive,
  KEPT_ENTRIES,
  startMesh,
  startMeshes,
  waitUntil,
} from './CactusdealMeshFixture.js';

const COUNT = 20;

async function withMeshes(count: number, run: (meshes: Mesh[]) => Promise<void>): Promise<void> {
  const meshes = await startMeshes(count);
  try {
    await waitUntil(
      () => meshes.every((mesh) => countAlive(mesh) === count),
      'every daemon knows every other as alive',
    );
    await run(meshes);
  } finally {
    await closeMeshes(meshes);
  }
}

describe('mesh of one data centre', () => {
  it('joins all members with a bounded degree', () =>
    withMeshes(COUNT, async (meshes) => {
      await waitUntil(
        () => meshes.every((mesh) => Number(mesh.getCounters().degree) >= 3),
        'every member has at least 3 neighbours',
      );
      meshes.forEach((mesh) => assert.ok(Number(mesh.getCounters().degree) <= 6));
    }));

  it('spreads entries, workers and notices to every member', async () => {
    const states = Array.from({ length: COUNT }, () => createCountingState(KEPT_ENTRIES));
    const meshes = await startMeshes(COUNT, (index) => ({ state: states[index] as never }));
    try {
      await waitUntil(
        () => meshes.every((mesh) => countAlive(mesh) === COUNT),
        'every daemon knows every other as alive',
      );
      const receivers = new Set<number>();
      meshes.forEach((mesh, index) =>
        mesh.observeNotices((topic, value) => {
          assert.deepEqual([topic, value], ['quarantine', { fingerprint: 'x' }]);
          receivers.add(index);
        }),
      );
      for (let version = 1; version <= 5; version += 1) {
        states[0]?.acceptEntry(createCountedEntry(version));
        meshes[0]?.publishEntry(createCountedEntry(version));
      }
      meshes[1]?.publishNotice('quarantine', 'q1', { fingerprint: 'x' });
      const worker = {
        name: 'w1',
        services: ['paint'],
        slots: 4,
        state: 'ready' as const,
        readyAtMs: 1,
      };
      meshes[2]?.setWorker(worker);
      await waitUntil(
        () => states.every((state) => state.version === 5),
        'every daemon has version 5',
      );
      await waitUntil(() => receivers.size === COUNT - 1, 'every other daemon received the notice');
      await waitUntil(
        () =>
          meshes.every((mesh) =>
            mesh.getMembers().some((record) => record.worker?.state === 'ready'),
          ),
        'every daemon knows the worker as ready',
      );
    } finally {
      await closeMeshes(meshes);
    }
  });

  it('counts the versions held by all in a survey', () =>
    withMeshes(COUNT, async (meshes) => {
      const result = await (meshes[3] as Mesh).survey(1, 5000);
      assert.equal(result.answered, COUNT);
      assert.equal(result.expected, COUNT);
      assert.equal(result.stragglers.length, 16);
    }));

  it('takes a member that left out of every table', () =>
    withMeshes(COUNT, async (meshes) => {
      const { id } = (meshes[5] as Mesh).getSelf();
      await meshes[5]?.close();
      const hasLeft = (mesh: Mesh) =>
        mesh.getMembers().some((record) => record.id === id && record.state === 'left');
      await waitUntil(() => meshes.every(hasLeft), 'every daemon holds the member as left');
      meshes.forEach((mesh) => assert.ok(countAlive(mesh) <= COUNT - 1));
    }));

  it('sends a new member a snapshot when the entries it lacks are no longer held', async () => {
    const old = createCountingState(2);
    for (let version = 1; version <= 9; version += 1) old.acceptEntry(createCountedEntry(version));
    const first = await startMesh('first', { state: old });
    const state = createCountingState(KEPT_ENTRIES);
    const contacts = [first.getSelf().meshAddress];
    const second = await startMesh('second', { state, contacts });
    try {
      await waitUntil(() => state.version === 9, 'the new member has version 9');
    } finally {
      await closeMeshes([first, second]);
    }
  });
});

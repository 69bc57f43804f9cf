import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Worker } from '@cactusdeal/schema';
import { FaultDirection, type FaultProxy, startFaultProxy } from '@cactusdeal/testing';
import { openSocket, type OpenSocket } from '../../CactusdealMeshConnection.js';
import {
  createCountedEntry,
  createCountingState,
  type CountingState,
} from '../../bench/CactusdealMeshBenchState.js';
import { encodeFrame } from '../../CactusdealMeshFrame.js';
import type { Mesh } from '../../CactusdealMeshTypes.js';
import {
  closeMeshes,
  countAlive,
  createHello,
  readAnswers,
  KEPT_ENTRIES,
  startMesh,
  waitUntil,
} from './CactusdealMeshFixture.js';

const SIZE = 5;

const LINK_HELLO = { ...createHello('n1', 'north'), purpose: 'link' };

type State = CountingState;

interface World {
  readonly east: readonly Mesh[];
  readonly west: Mesh[];
  readonly states: Readonly<Record<'east' | 'west', State[]>>;
  /** The only way from one data centre to the other. */
  setCut(isCut: boolean): void;
  close(): Promise<void>;
  startWest(id: string, state: State): Promise<Mesh>;
}

function createWorker(state: Worker['state'], slots = 4): Worker {
  return { name: 'w1', services: ['paint'], slots, state, readyAtMs: 1 };
}

/** Two data centres whose daemons dial each other through relays only. */
async function startWorld(): Promise<World> {
  const proxies = new Map<string, FaultProxy>();
  const dataCentres = new Map<string, string>();
  const east: Mesh[] = [];
  let isCut = false;

  /** Dials the addresses of one data centre through their relays. */
  function openRelayed(dataCentre: string): OpenSocket {
    return (address, timeoutMs) => {
      const proxy = dataCentres.get(address) === dataCentre ? proxies.get(address) : undefined;
      return openSocket(proxy?.address ?? address, timeoutMs);
    };
  }

  async function addProxy(mesh: Mesh): Promise<void> {
    const { meshAddress: target, dataCentre } = mesh.getSelf();
    dataCentres.set(target, dataCentre);
    const proxy = await startFaultProxy({ target });
    proxies.set(target, proxy);
    if (isCut) proxy.cut(FaultDirection.Both);
  }

  const states = {
    east: Array.from({ length: SIZE }, () => createCountingState(KEPT_ENTRIES)),
    west: Array.from({ length: SIZE }, () => createCountingState(KEPT_ENTRIES)),
  };
  for (let index = 0; index < SIZE; index += 1) {
    const contacts = east.map((mesh) => mesh.getSelf().meshAddress);
    const state = states.east[index] as State;
    const mesh = await startMesh(`e${index}`, { contacts, state, openSocket: openRelayed('west') });
    east.push(mesh);
    await addProxy(mesh);
  }
  const remote = [String(east[0]?.getSelf().meshAddress)];
  const west: Mesh[] = [];

  async function startWest(id: string, state: State): Promise<Mesh> {
    const mesh = await startMesh(id, {
      dataCentre: 'west',
      contacts: west.map((other) => other.getSelf().meshAddress),
      remoteContacts: { east: remote },
      state,
      openSocket: openRelayed('east'),
    });
    await addProxy(mesh);
    return mesh;
  }

  for (const [index, state] of states.west.entries()) {
    west.push(await startWest(`w${index}`, state));
  }
  await waitUntil(() => [...east, ...west].every((mesh) => countAlive(mesh) === SIZE), 'joined');
  return {
    east,
    west,
    states,
    startWest,
    setCut: (wanted) => {
      isCut = wanted;
      proxies.forEach((proxy) => (wanted ? proxy.cut(FaultDirection.Both) : proxy.heal()));
    },
    close: async () => {
      await closeMeshes([...east, ...west]);
      await Promise.all([...proxies.values()].map((proxy) => proxy.close()));
    },
  };
}

async function withWorld(run: (world: World) => Promise<void>): Promise<void> {
  const world = await startWorld();
  try {
    await run(world);
  } finally {
    await world.close();
  }
}

function countSlots(mesh: Mesh): number {
  return mesh.getSummaries().reduce((sum, summary) => sum + summary.readySlots, 0);
}

describe('links between data centres', () => {
  it('carry the services, and a drained worker leaves them', () =>
    withWorld(async ({ east, west }) => {
      east[1]?.setWorker(createWorker('ready'));
      east[2]?.setWorker(createWorker('ready', 3));
      await waitUntil(() => west.every((mesh) => countSlots(mesh) === 7), 'seven slots');
      const [summary] = (west[0] as Mesh).getSummaries();
      assert.deepEqual(summary?.gates.map((gate) => gate.memberId).sort(), ['e1', 'e2']);
      east[1]?.setWorker(createWorker('draining'));
      await waitUntil(() => west.every((mesh) => countSlots(mesh) === 3), 'drained');
      await east[2]?.close();
      await waitUntil(() => west.every((mesh) => countSlots(mesh) === 0), 'gone');
    }));

  it('are held by the reader candidates only', () =>
    withWorld(async ({ east, west }) => {
      const all = [...east, ...west];
      const isRight = (mesh: Mesh) =>
        Number(mesh.getCounters().links) > 0 === mesh.isReaderCandidate();
      await waitUntil(() => all.every(isRight), 'each candidate has a link');
      assert.equal(all.filter((mesh) => mesh.isReaderCandidate()).length, 4);
    }));

  it('are refused by the others, which name the candidates', () =>
    withWorld(async ({ east }) => {
      const candidates = east.filter((mesh) => mesh.isReaderCandidate());
      const other = east.find((mesh) => !candidates.includes(mesh)) as Mesh;
      const [refusal] = await readAnswers(other.getSelf().meshAddress, encodeFrame(LINK_HELLO));
      assert.deepEqual([refusal?.type, refusal?.kind], ['refusal', 'NotReader']);
      const addresses = candidates.map((mesh) => mesh.getSelf().meshAddress);
      assert.deepEqual([...(refusal?.contacts ?? [])].sort(), addresses.sort());
    }));

  it('bring a data centre up that is cut off from the platform, also after a long time', () =>
    withWorld(async ({ east, states }) => {
      for (let version = 1; version <= 3; version += 1) {
        states.east[0]?.acceptEntry(createCountedEntry(version));
        east[0]?.publishEntry(createCountedEntry(version));
      }
      await waitUntil(() => states.west.every((state) => state.version === 3), 'version 3');
    }));

  it('leave a cut-off data centre with what it holds, and mend when they return', () =>
    withWorld(async ({ east, west, states, setCut, startWest }) => {
      east[1]?.setWorker(createWorker('ready'));
      states.east[0]?.acceptEntry(createCountedEntry(1));
      east[0]?.publishEntry(createCountedEntry(1));
      await waitUntil(() => states.west.every((state) => state.version === 1), 'version 1');
      await waitUntil(() => west.every((mesh) => countSlots(mesh) === 4), 'the service');
      setCut(true);
      await waitUntil(() => west.every((mesh) => countSlots(mesh) === 0), 'no longer believed');

      await west.pop()?.close();
      const restarted = createCountingState(KEPT_ENTRIES);
      states.west.splice(SIZE - 1, 1, restarted);
      west.push(await startWest('w4', restarted));
      await waitUntil(() => restarted.version === 1, 'a restarted daemon learns from its peers');
      states.east[0]?.acceptEntry(createCountedEntry(2));
      east[0]?.publishEntry(createCountedEntry(2));
      await waitUntil(() => states.east.every((state) => state.version === 2), 'version 2 there');
      assert.ok(states.west.every((state) => state.version === 1));

      setCut(false);
      await waitUntil(() => states.west.every((state) => state.version === 2), 'version 2 here');
      await waitUntil(() => west.every((mesh) => countSlots(mesh) === 4), 'the service again');
    }));
});

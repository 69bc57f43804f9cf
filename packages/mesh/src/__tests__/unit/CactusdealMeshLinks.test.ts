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

interface TwoDataCentres {
  readonly east: readonly Mesh[];
  readonly west: Mesh[];
  readonly states: Readonly<Record<'east' | 'west', State[]>>;
  /** Cuts or restores all connections between the data centres. */
  setCut(isCut: boolean): void;
  close(): Promise<void>;
  startWest(id: string, state: State): Promise<Mesh>;
}

function createWorker(state: Worker['state'], slots = 4): Worker {
  return { name: 'w1', services: ['paint'], slots, state, readyAtMs: 1 };
}

/** Starts two data centres; connections between them go through proxies that the test can cut. */
async function startDataCentres(): Promise<TwoDataCentres> {
  const proxies = new Map<string, FaultProxy>();
  const dataCentreByAddress = new Map<string, string>();
  const east: Mesh[] = [];
  let isCut = false;

  /** Opens connections to the addresses of one data centre through their proxies. */
  function openProxied(dataCentre: string): OpenSocket {
    return (address, timeoutMs) => {
      const proxy =
        dataCentreByAddress.get(address) === dataCentre ? proxies.get(address) : undefined;
      return openSocket(proxy?.address ?? address, timeoutMs);
    };
  }

  async function addProxy(mesh: Mesh): Promise<void> {
    const { meshAddress: target, dataCentre } = mesh.getSelf();
    dataCentreByAddress.set(target, dataCentre);
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
    const mesh = await startMesh(`e${index}`, { contacts, state, openSocket: openProxied('west') });
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
      openSocket: openProxied('east'),
    });
    await addProxy(mesh);
    return mesh;
  }

  for (const [index, state] of states.west.entries()) {
    west.push(await startWest(`w${index}`, state));
  }
  await waitUntil(
    () => [...east, ...west].every((mesh) => countAlive(mesh) === SIZE),
    'all daemons joined their data centre',
  );
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

async function withDataCentres(run: (dataCentres: TwoDataCentres) => Promise<void>): Promise<void> {
  const dataCentres = await startDataCentres();
  try {
    await run(dataCentres);
  } finally {
    await dataCentres.close();
  }
}

function countSlots(mesh: Mesh): number {
  return mesh.getSummaries().reduce((sum, summary) => sum + summary.readySlots, 0);
}

describe('links between data centres', () => {
  it('carry the services of ready workers, and drop those of a draining one', () =>
    withDataCentres(async ({ east, west }) => {
      east[1]?.setWorker(createWorker('ready'));
      east[2]?.setWorker(createWorker('ready', 3));
      await waitUntil(
        () => west.every((mesh) => countSlots(mesh) === 7),
        '7 slots in every daemon of west',
      );
      const [summary] = (west[0] as Mesh).getSummaries();
      assert.deepEqual(summary?.gates.map((gate) => gate.memberId).sort(), ['e1', 'e2']);
      east[1]?.setWorker(createWorker('draining'));
      await waitUntil(
        () => west.every((mesh) => countSlots(mesh) === 3),
        '3 slots after the drain',
      );
      await east[2]?.close();
      await waitUntil(
        () => west.every((mesh) => countSlots(mesh) === 0),
        'no slots after the daemon left',
      );
    }));

  it('are held by the reader candidates only', () =>
    withDataCentres(async ({ east, west }) => {
      const all = [...east, ...west];
      const isRight = (mesh: Mesh) =>
        Number(mesh.getCounters().links) > 0 === mesh.isReaderCandidate();
      await waitUntil(
        () => all.every(isRight),
        'every reader candidate and no other member has a link',
      );
      assert.equal(all.filter((mesh) => mesh.isReaderCandidate()).length, 4);
    }));

  it('are refused by other members, which list the reader candidates', () =>
    withDataCentres(async ({ east }) => {
      const candidates = east.filter((mesh) => mesh.isReaderCandidate());
      const other = east.find((mesh) => !candidates.includes(mesh)) as Mesh;
      const [refusal] = await readAnswers(other.getSelf().meshAddress, encodeFrame(LINK_HELLO));
      assert.deepEqual([refusal?.type, refusal?.kind], ['refusal', 'NotReader']);
      const addresses = candidates.map((mesh) => mesh.getSelf().meshAddress);
      assert.deepEqual([...(refusal?.contacts ?? [])].sort(), addresses.sort());
    }));

  it('deliver several missed versions to a data centre that is cut off from the platform', () =>
    withDataCentres(async ({ east, states }) => {
      for (let version = 1; version <= 3; version += 1) {
        states.east[0]?.acceptEntry(createCountedEntry(version));
        east[0]?.publishEntry(createCountedEntry(version));
      }
      await waitUntil(() => states.west.every((state) => state.version === 3), 'version 3 in west');
    }));

  it('keep the version of a data centre while all are cut, and synchronise it when they return', () =>
    withDataCentres(async ({ east, west, states, setCut, startWest }) => {
      east[1]?.setWorker(createWorker('ready'));
      states.east[0]?.acceptEntry(createCountedEntry(1));
      east[0]?.publishEntry(createCountedEntry(1));
      await waitUntil(() => states.west.every((state) => state.version === 1), 'version 1 in west');
      await waitUntil(() => west.every((mesh) => countSlots(mesh) === 4), 'the 4 slots in west');
      setCut(true);
      await waitUntil(
        () => west.every((mesh) => countSlots(mesh) === 0),
        'the slots expired in west',
      );

      await west.pop()?.close();
      const restarted = createCountingState(KEPT_ENTRIES);
      states.west.splice(SIZE - 1, 1, restarted);
      west.push(await startWest('w4', restarted));
      await waitUntil(
        () => restarted.version === 1,
        'the restarted daemon has version 1 from its peers',
      );
      states.east[0]?.acceptEntry(createCountedEntry(2));
      east[0]?.publishEntry(createCountedEntry(2));
      await waitUntil(() => states.east.every((state) => state.version === 2), 'version 2 in east');
      assert.ok(states.west.every((state) => state.version === 1));

      setCut(false);
      await waitUntil(() => states.west.every((state) => state.version === 2), 'version 2 in west');
      await waitUntil(
        () => west.every((mesh) => countSlots(mesh) === 4),
        'the 4 slots in west again',
      );
    }));
});

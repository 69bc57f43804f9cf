import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilentLog, type Log } from '@cactusdeal/shared';
import { FaultDirection, type FaultProxy, startFaultProxy } from '@cactusdeal/testing';
import type { MeshNode } from '../../CactusdealMesh.js';
import { openSocket, type OpenSocket } from '../../CactusdealMeshConnection.js';
import { encodeFrame } from '../../CactusdealMeshFrame.js';
import type { Mesh } from '../../CactusdealMeshTypes.js';
import {
  closeMeshes,
  countAlive,
  countConnected,
  createHello,
  readAnswers,
  startMesh,
  startMeshes,
  startNode,
  waitUntil,
} from './CactusdealMeshFixture.js';

const MAX_DEGREE = 6;

/** Fault proxies between one mesh and the addresses that it dials. */
interface AddressProxies {
  readonly openSocket: OpenSocket;
  stall(): void;
  heal(): void;
  close(): Promise<void>;
}

/** Puts a fault proxy in front of each dialled address for which `isProxied` holds. */
function createAddressProxies(isProxied: (address: string) => boolean): AddressProxies {
  const proxies = new Map<string, Promise<FaultProxy>>();
  let isStalled = false;

  async function openThroughProxy(address: string, timeoutMs: number) {
    if (!isProxied(address)) return openSocket(address, timeoutMs);
    const proxy = proxies.get(address) ?? startFaultProxy({ target: address });
    proxies.set(address, proxy);
    const started = await proxy;
    if (isStalled) started.stall(FaultDirection.Both);
    return openSocket(started.address, timeoutMs);
  }

  async function withEach(use: (proxy: FaultProxy) => unknown): Promise<void> {
    await Promise.all([...proxies.values()].map(async (proxy) => use(await proxy)));
  }

  return {
    openSocket: openThroughProxy,
    stall: () => {
      isStalled = true;
      void withEach((proxy) => proxy.stall(FaultDirection.Both));
    },
    heal: () => {
      isStalled = false;
      void withEach((proxy) => proxy.heal());
    },
    close: () => withEach((proxy) => proxy.close()),
  };
}

/** A log that records the events written to it. */
function createEventLog(events: string[]): Log {
  const record = (event: string) => events.push(event);
  const log: Log = {
    debug: record,
    info: record,
    warn: record,
    error: record,
    with: () => log,
  };
  return log;
}

function hasMemberInState(mesh: Mesh, id: string, state: string): boolean {
  return mesh.getMembers().some((record) => record.id === id && record.state === state);
}

/** Records each `id state` pair that any of the meshes stores from now on. */
function watchStates(meshes: readonly Mesh[]): Set<string> {
  const seen = new Set<string>();
  meshes.forEach((mesh) =>
    mesh.observeMembers((record) => seen.add(`${record.id} ${record.state}`)),
  );
  return seen;
}

describe('failure detection', () => {
  it('evicts no member because of one failed link', async () => {
    const addresses = new Map<string, string>();
    const events: string[] = [];
    const proxySets = [
      createAddressProxies((address) => address === addresses.get('m2')),
      createAddressProxies((address) => address === addresses.get('m1')),
    ];
    const meshes = await startMeshes(6, (index) => {
      const proxySet = proxySets[index - 1];
      const log = index === 1 ? createEventLog(events) : createSilentLog();
      return proxySet === undefined ? {} : { openSocket: proxySet.openSocket, log };
    });
    try {
      meshes.forEach(({ getSelf }) => addresses.set(getSelf().id, getSelf().meshAddress));
      await waitUntil(
        () => meshes.every((mesh) => countAlive(mesh) === 6),
        'every daemon knows every other as alive',
      );
      const seen = watchStates(meshes);
      proxySets.forEach((proxySet) => proxySet.stall());
      const countBad = () => events.filter((event) => event === 'mesh-link-bad').length;
      await waitUntil(() => countBad() >= 5, 'mesh-link-bad was logged 5 times');
      assert.deepEqual(
        [...seen].filter((state) => /dead|suspect/.test(state)),
        [],
      );
      assert.ok(meshes.every((mesh) => countAlive(mesh) === 6));
    } finally {
      await closeMeshes(meshes);
      await Promise.all(proxySets.map((proxySet) => proxySet.close()));
    }
  });

  it('evicts a member that nobody can reach, and readmits it after it refutes', async () => {
    // On the connections that the frozen member opens; `inbound` is on those opened to it.
    const outbound = createAddressProxies(() => true);
    const frozen = await startMesh('frozen', { openSocket: outbound.openSocket });
    const { incarnation, meshAddress } = frozen.getSelf();
    const inbound = createAddressProxies((address) => address === meshAddress);
    const starts = Array.from({ length: 7 }, (_, index) =>
      startMesh(`m${index}`, { contacts: [meshAddress], openSocket: inbound.openSocket }),
    );
    const others = await Promise.all(starts);
    const meshes = [...others, frozen];
    const getState = (mesh: Mesh) =>
      mesh.getMembers().find((record) => record.id === 'frozen')?.state;
    try {
      await waitUntil(
        () => meshes.every((mesh) => countAlive(mesh) === 8),
        'every daemon knows every other as alive',
      );
      const seen = watchStates([frozen]);
      inbound.stall();
      outbound.stall();
      await waitUntil(
        () => others.every((mesh) => getState(mesh) === 'dead'),
        'the others hold it as dead',
      );
      assert.ok(others.every((mesh) => countAlive(mesh) === 7));
      // The isolated member gets no answer from helpers, so it must not suspect anybody.
      assert.deepEqual(
        [...seen].filter((state) => /dead|suspect/.test(state)),
        [],
      );
      inbound.heal();
      outbound.heal();
      await waitUntil(
        () => meshes.every((mesh) => countAlive(mesh) === 8),
        'every daemon knows every other as alive again',
      );
      assert.ok(frozen.getSelf().incarnation > incarnation);
    } finally {
      await closeMeshes(meshes);
      await Promise.all([inbound.close(), outbound.close()]);
    }
  });

  it('converges after two thirds died and came back at once', async () => {
    const count = 24;
    const nodes: MeshNode[] = [await startNode('m0')];
    const contacts = [String(nodes[0]?.mesh.getSelf().meshAddress)];
    for (let index = 1; index < count; index += 1) {
      nodes.push(await startNode(`m${index}`, { contacts }));
    }
    const survivors = nodes.slice(0, count / 3).map((node) => node.mesh);
    let all = nodes.map((node) => node.mesh);
    try {
      await waitUntil(
        () => all.every((mesh) => countAlive(mesh) === count),
        'every daemon knows every other as alive',
      );
      const seen = watchStates(survivors);
      await Promise.all(nodes.slice(count / 3).map((node) => node.kill()));
      await waitUntil(
        () => survivors.every((mesh) => countAlive(mesh) === count / 3),
        'the survivors hold all killed members as dead',
      );
      survivors.forEach((mesh) => assert.ok(!seen.has(`${mesh.getSelf().id} dead`)));
      const returned = Array.from({ length: count - count / 3 }, (_, index) =>
        startMesh(`m${index + count / 3}`, { contacts }),
      );
      all = [...survivors, ...(await Promise.all(returned))];
      await waitUntil(
        () => all.every((mesh) => countAlive(mesh) === count),
        'every daemon knows every other as alive again',
      );
      assert.equal(countConnected(all), count);
      all.forEach((mesh) => assert.ok(mesh.getNeighbours().length <= MAX_DEGREE));
    } finally {
      await closeMeshes(all);
    }
  });

  it('detects a lost member that nobody is connected to', async () => {
    const meshes = await startMeshes(5);
    const [first] = meshes as [Mesh];
    const ghost = { ...first.getSelf(), id: 'ghost', meshAddress: '127.0.0.1:1' };
    const hello = { ...createHello('intruder'), purpose: 'join' };
    const body = { kind: 'member', record: ghost };
    const frames = [hello, { type: 'gossip', id: 'ghost', hops: 1, body }, { type: 'end' }];
    try {
      await waitUntil(
        () => meshes.every((mesh) => countAlive(mesh) === 5),
        'every daemon knows every other as alive',
      );
      const seen = watchStates(meshes);
      await readAnswers(first.getSelf().meshAddress, Buffer.concat(frames.map(encodeFrame)));
      await waitUntil(() => seen.has('ghost alive'), 'the ghost is known as alive');
      await waitUntil(
        () => meshes.every((mesh) => hasMemberInState(mesh, 'ghost', 'dead')),
        'every daemon holds the ghost as dead',
      );
    } finally {
      await closeMeshes(meshes);
    }
  });

  it('lets a member join through findContacts when its contacts lead nowhere', async () => {
    const meshes = await startMeshes(4);
    let asked = 0;
    const late = await startMesh('late', {
      contacts: ['127.0.0.1:1'],
      findContacts: () => {
        asked += 1;
        return Promise.resolve([String(meshes[2]?.getSelf().meshAddress)]);
      },
    });
    try {
      await waitUntil(() => countAlive(late) === 5, 'the late member knows every other as alive');
      assert.ok(asked > 0);
    } finally {
      await closeMeshes([...meshes, late]);
    }
  });

  it('raises the incarnation of a process restarted with its old id and address', async () => {
    const node = await startNode('m9', {});
    const address = node.mesh.getSelf().meshAddress;
    const first = await startMesh('m0', { contacts: [address] });
    try {
      await waitUntil(() => countAlive(first) === 2, 'the first daemon knows both as alive');
      const before = node.mesh.getSelf().incarnation;
      await node.kill();
      const contacts = [first.getSelf().meshAddress];
      // With a clock an hour behind, the process restarts with a lower incarnation than before. It
      // learns the old one from its peers and must exceed it.
      const clock = () => Date.now() - 3_600_000;
      const again = await startMesh('m9', { meshAddress: address, contacts, clock });
      await waitUntil(
        () =>
          first.getMembers().some((record) => record.id === 'm9' && record.incarnation > before),
        'the restarted process has a higher incarnation',
      );
      await waitUntil(() => countAlive(first) === 2, 'the restarted process is alive');
      await again.close();
    } finally {
      await first.close();
    }
  });
});

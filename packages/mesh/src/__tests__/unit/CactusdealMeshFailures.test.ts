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

/** Relays that stand before the addresses that one mesh dials. */
interface Relays {
  readonly openSocket: OpenSocket;
  stall(): void;
  heal(): void;
  close(): Promise<void>;
}

/** Puts a relay of its own before each address for which `isRelayed` holds. */
function createRelays(isRelayed: (address: string) => boolean): Relays {
  const proxies = new Map<string, Promise<FaultProxy>>();
  let isStalled = false;

  async function openThroughRelay(address: string, timeoutMs: number) {
    if (!isRelayed(address)) return openSocket(address, timeoutMs);
    const proxy = proxies.get(address) ?? startFaultProxy({ target: address });
    proxies.set(address, proxy);
    const relay = await proxy;
    if (isStalled) relay.stall(FaultDirection.Both);
    return openSocket(relay.address, timeoutMs);
  }

  async function withEach(use: (proxy: FaultProxy) => unknown): Promise<void> {
    await Promise.all([...proxies.values()].map(async (proxy) => use(await proxy)));
  }

  return {
    openSocket: openThroughRelay,
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

function isHeldAs(mesh: Mesh, id: string, state: string): boolean {
  return mesh.getMembers().some((record) => record.id === id && record.state === state);
}

/** Records every state in which any of the meshes holds another member. */
function watchStates(meshes: readonly Mesh[]): Set<string> {
  const seen = new Set<string>();
  meshes.forEach((mesh) =>
    mesh.observeMembers((record) => seen.add(`${record.id} ${record.state}`)),
  );
  return seen;
}

describe('failure detection', () => {
  it('evicts nobody for one bad link', async () => {
    const addresses = new Map<string, string>();
    const events: string[] = [];
    const relays = [
      createRelays((address) => address === addresses.get('m2')),
      createRelays((address) => address === addresses.get('m1')),
    ];
    const meshes = await startMeshes(6, (index) => {
      const relay = relays[index - 1];
      const log = index === 1 ? createEventLog(events) : createSilentLog();
      return relay === undefined ? {} : { openSocket: relay.openSocket, log };
    });
    try {
      meshes.forEach(({ getSelf }) => addresses.set(getSelf().id, getSelf().meshAddress));
      await waitUntil(() => meshes.every((mesh) => countAlive(mesh) === 6), 'all know all');
      const seen = watchStates(meshes);
      relays.forEach((relay) => relay.stall());
      const countBad = () => events.filter((event) => event === 'mesh-link-bad').length;
      await waitUntil(() => countBad() >= 5, 'the link was found bad several times');
      assert.deepEqual(
        [...seen].filter((state) => /dead|suspect/.test(state)),
        [],
      );
      assert.ok(meshes.every((mesh) => countAlive(mesh) === 6));
    } finally {
      await closeMeshes(meshes);
      await Promise.all(relays.map((relay) => relay.close()));
    }
  });

  it('evicts a member that answers nobody, and takes it back when it refutes', async () => {
    const own = createRelays(() => true);
    const frozen = await startMesh('frozen', { openSocket: own.openSocket });
    const { incarnation, meshAddress } = frozen.getSelf();
    const around = createRelays((address) => address === meshAddress);
    const starts = Array.from({ length: 7 }, (_, index) =>
      startMesh(`m${index}`, { contacts: [meshAddress], openSocket: around.openSocket }),
    );
    const others = await Promise.all(starts);
    const meshes = [...others, frozen];
    const getState = (mesh: Mesh) =>
      mesh.getMembers().find((record) => record.id === 'frozen')?.state;
    try {
      await waitUntil(() => meshes.every((mesh) => countAlive(mesh) === 8), 'all know all');
      const seen = watchStates([frozen]);
      around.stall();
      own.stall();
      await waitUntil(() => others.every((mesh) => getState(mesh) === 'dead'), 'it is dead');
      assert.ok(others.every((mesh) => countAlive(mesh) === 7));
      // Cut off from all, it cannot tell who is lost, and blames nobody.
      assert.deepEqual(
        [...seen].filter((state) => /dead|suspect/.test(state)),
        [],
      );
      around.heal();
      own.heal();
      await waitUntil(() => meshes.every((mesh) => countAlive(mesh) === 8), 'it is back');
      assert.ok(frozen.getSelf().incarnation > incarnation);
    } finally {
      await closeMeshes(meshes);
      await Promise.all([around.close(), own.close()]);
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
      await waitUntil(() => all.every((mesh) => countAlive(mesh) === count), 'all know all');
      const seen = watchStates(survivors);
      await Promise.all(nodes.slice(count / 3).map((node) => node.kill()));
      await waitUntil(
        () => survivors.every((mesh) => countAlive(mesh) === count / 3),
        'the dead are gone',
      );
      survivors.forEach((mesh) => assert.ok(!seen.has(`${mesh.getSelf().id} dead`)));
      const returned = Array.from({ length: count - count / 3 }, (_, index) =>
        startMesh(`m${index + count / 3}`, { contacts }),
      );
      all = [...survivors, ...(await Promise.all(returned))];
      await waitUntil(() => all.every((mesh) => countAlive(mesh) === count), 'all are back');
      assert.equal(countConnected(all), count);
      all.forEach((mesh) => assert.ok(mesh.getNeighbours().length <= MAX_DEGREE));
    } finally {
      await closeMeshes(all);
    }
  });

  it('finds a lost member to which nobody holds a connection', async () => {
    const meshes = await startMeshes(5);
    const [first] = meshes as [Mesh];
    const ghost = { ...first.getSelf(), id: 'ghost', meshAddress: '127.0.0.1:1' };
    const hello = { ...createHello('intruder'), purpose: 'join' };
    const body = { kind: 'member', record: ghost };
    const frames = [hello, { type: 'gossip', id: 'ghost', hops: 1, body }, { type: 'end' }];
    try {
      await waitUntil(() => meshes.every((mesh) => countAlive(mesh) === 5), 'all know all');
      const seen = watchStates(meshes);
      await readAnswers(first.getSelf().meshAddress, Buffer.concat(frames.map(encodeFrame)));
      await waitUntil(() => seen.has('ghost alive'), 'it is believed');
      await waitUntil(
        () => meshes.every((mesh) => isHeldAs(mesh, 'ghost', 'dead')),
        'it is found to be dead',
      );
    } finally {
      await closeMeshes(meshes);
    }
  });

  it('lets an isolated member find back through the roster when settings lead nowhere', async () => {
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
      await waitUntil(() => countAlive(late) === 5, 'it joined');
      assert.ok(asked > 0);
    } finally {
      await closeMeshes([...meshes, late]);
    }
  });

  it('gives a restarted process under its old name and address a higher incarnation', async () => {
    const node = await startNode('m9', {});
    const address = node.mesh.getSelf().meshAddress;
    const first = await startMesh('m0', { contacts: [address] });
    try {
      await waitUntil(() => countAlive(first) === 2, 'both are there');
      const before = node.mesh.getSelf().incarnation;
      await node.kill();
      const contacts = [first.getSelf().meshAddress];
      // A clock that went back: the old incarnation is heard of and outdone.
      const clock = () => Date.now() - 3_600_000;
      const again = await startMesh('m9', { meshAddress: address, contacts, clock });
      await waitUntil(
        () =>
          first.getMembers().some((record) => record.id === 'm9' && record.incarnation > before),
        'the higher incarnation',
      );
      await waitUntil(() => countAlive(first) === 2, 'it is alive');
      await again.close();
    } finally {
      await first.close();
    }
  });
});

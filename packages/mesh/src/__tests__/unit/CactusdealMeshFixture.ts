import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { createSeededRandom, createSilentLog, parseAddress, waitMs } from '@cactusdeal/shared';
import { createMeshNode, type MeshNode } from '../../CactusdealMesh.js';
import { readFrames } from '../../CactusdealMeshFrame.js';
import type { MeshOptions } from '../../CactusdealMeshOptions.js';
import { createCountingState } from '../../bench/CactusdealMeshBenchState.js';
import type { Mesh } from '../../CactusdealMeshTypes.js';

const POLL_MS = 5;
const WAIT_TIMEOUT_MS = 20_000;
/** Entries that the configuration of a test daemon keeps. */
export const KEPT_ENTRIES = 100;

/** Waits until the condition holds; fails with `message` when it does not in time. */
export async function waitUntil(condition: () => boolean, message: string): Promise<void> {
  const endMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    assert.ok(performance.now() < endMs, `not within ${WAIT_TIMEOUT_MS} ms: ${message}`);
    await waitMs(POLL_MS);
  }
}

/** Starts one mesh with short intervals and a random seed that is fixed by its id. */
export async function startMesh(id: string, changes: Partial<MeshOptions> = {}): Promise<Mesh> {
  return (await startNode(id, changes)).mesh;
}

/** Like `startMesh`, for tests that kill the node. */
export function startNode(id: string, changes: Partial<MeshOptions> = {}): Promise<MeshNode> {
  return createMeshNode({
    cluster: 'test',
    dataCentre: 'east',
    id,
    meshAddress: '127.0.0.1:0',
    callsAddress: '127.0.0.1:1',
    adminAddress: '127.0.0.1:2',
    contacts: [],
    remoteContacts: {},
    heartbeatMs: 30,
    digestMs: 60,
    activeDegree: 4,
    readersPerDataCentre: 2,
    state: createCountingState(KEPT_ENTRIES),
    log: createSilentLog(),
    random: createSeededRandom([...id].reduce((sum, char) => sum * 31 + char.charCodeAt(0), 7)),
    ...changes,
  });
}

/** Starts `count` meshes `m0`, `m1` and so on, with the first one as contact of the others. */
export async function startMeshes(
  count: number,
  change: (index: number) => Partial<MeshOptions> = () => ({}),
): Promise<Mesh[]> {
  const first = await startMesh('m0', change(0));
  const contacts = [first.getSelf().meshAddress];
  const others = Array.from({ length: count - 1 }, (_, index) =>
    startMesh(`m${index + 1}`, { contacts, ...change(index + 1) }),
  );
  return [first, ...(await Promise.all(others))];
}

/** Closes all meshes concurrently. */
export async function closeMeshes(meshes: readonly Mesh[]): Promise<void> {
  await Promise.all(meshes.map((mesh) => mesh.close()));
}

/** Counts the members that are alive in the table of one mesh, itself included. */
export function countAlive(mesh: Mesh): number {
  return mesh.getMembers().filter((record) => record.state === 'alive').length;
}

/** Lists the ids of the members that are alive in the table of a mesh, sorted. */
export function listAlive(mesh: Mesh): string[] {
  return mesh
    .getMembers()
    .filter((record) => record.state === 'alive')
    .map((record) => record.id)
    .sort();
}

/** Counts the meshes that are reachable from the first over open connections. */
export function countConnected(meshes: readonly Mesh[]): number {
  const byId = new Map(meshes.map((mesh) => [mesh.getSelf().id, mesh]));
  const reached = new Set<string>();
  const queue = [...byId.keys()].slice(0, 1);
  while (queue.length > 0) {
    const id = queue.pop() as string;
    if (reached.has(id)) continue;
    reached.add(id);
    queue.push(...(byId.get(id)?.getNeighbours() ?? []));
  }
  return reached.size;
}

/** Creates the hello of a peer that the test itself plays. */
export function createHello(id: string, dataCentre = 'east') {
  const meshAddress = '127.0.0.1:9';
  const purpose = 'peer';
  return {
    type: 'hello',
    protocol: 1,
    cluster: 'test',
    dataCentre,
    id,
    incarnation: 1,
    meshAddress,
    purpose,
  };
}

/** A decoded frame that was not validated. */
export interface RawMessage {
  readonly type: string;
  readonly kind?: string;
  readonly contacts?: readonly string[];
}

/**
 * Sends raw bytes to a mesh and returns the frames that it sends until it closes the connection.
 */
export async function readAnswers(address: string, bytes: Buffer): Promise<RawMessage[]> {
  const socket = connect(parseAddress(address));
  await once(socket, 'connect');
  socket.write(bytes);
  const answers: RawMessage[] = [];
  for await (const value of readFrames(socket)) answers.push(value as RawMessage);
  return answers;
}

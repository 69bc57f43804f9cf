import { createSeededRandom, createSilentLog, waitMs } from '@cactusdeal/shared';
import { createMeshNode, type MeshNode } from '../CactusdealMesh.js';
import type { MeshOptions } from '../CactusdealMeshOptions.js';
import { type CountingState, createCountingState } from './CactusdealMeshBenchState.js';

/** Meshes of one data centre in one process, with the default intervals of the settings. */
export interface Fleet {
  readonly nodes: MeshNode[];
  readonly states: readonly CountingState[];
  /**
   * For each version, the times at which nodes accepted its entry, in milliseconds of the monotonic
   * clock.
   */
  readonly arrivals: ReadonlyMap<number, readonly number[]>;
  /**
   * From the start of the first node until every node knew every other, in milliseconds; NaN after
   * a timeout.
   */
  readonly joinMs: number;
  close(): Promise<void>;
}

export const HEARTBEAT_MS = 1000;
export const DIGEST_MS = 2000;
const ACTIVE_DEGREE = 4;
const KEPT_ENTRIES = 64;
const POLL_MS = 10;
/** Timeout of `waitFor`. */
const MAX_WAIT_MS = 120_000;
const SEED = 7;
/** Number of nodes that serve as contacts; the first ones that are started. */
const CONTACT_COUNT = 8;

/** Waits until the condition holds; returns false after the timeout. */
export async function waitFor(condition: () => boolean): Promise<boolean> {
  const endMs = performance.now() + MAX_WAIT_MS;
  while (!condition()) {
    if (performance.now() > endMs) return false;
    await waitMs(POLL_MS);
  }
  return true;
}

/** Starts `size` meshes one after another and waits until every node knows every other. */
export async function startFleet(size: number): Promise<Fleet> {
  const arrivals = new Map<number, number[]>();
  const states = Array.from({ length: size }, () =>
    createCountingState(KEPT_ENTRIES, (version) => recordArrival(arrivals, version)),
  );
  const startedAtMs = performance.now();
  const nodes = await startNodes(states);
  const isJoined = await waitFor(() => nodes.every((node) => countAlive(node) === size));
  return {
    nodes,
    states,
    arrivals,
    joinMs: isJoined ? performance.now() - startedAtMs : NaN,
    close: async () => {
      await Promise.all(nodes.map((node) => node.mesh.close()));
    },
  };
}

async function startNodes(states: readonly CountingState[]): Promise<MeshNode[]> {
  const contacts: string[] = [];
  const nodes: MeshNode[] = [];
  for (const [index, state] of states.entries()) {
    const node = await createMeshNode(createOptions(index, state, contacts));
    if (index < CONTACT_COUNT) contacts.push(node.mesh.getSelf().meshAddress);
    nodes.push(node);
  }
  return nodes;
}

/**
 * Creates the options of node `index`. The array of contacts is shared, so later additions apply
 * too.
 */
export function createOptions(
  index: number,
  state: CountingState,
  contacts: readonly string[],
): MeshOptions {
  return {
    cluster: 'bench',
    dataCentre: 'centre',
    id: `10.20.${Math.floor(index / 250)}.${index % 250}:4000`,
    meshAddress: '127.0.0.1:0',
    callsAddress: `10.20.${Math.floor(index / 250)}.${index % 250}:4001`,
    adminAddress: `10.20.${Math.floor(index / 250)}.${index % 250}:4002`,
    contacts,
    remoteContacts: {},
    heartbeatMs: HEARTBEAT_MS,
    digestMs: DIGEST_MS,
    activeDegree: ACTIVE_DEGREE,
    readersPerDataCentre: 2,
    state,
    log: createSilentLog(),
    random: createSeededRandom(SEED + index),
  };
}

/** Counts the members that are alive in the table of a node, itself included. */
export function countAlive({ mesh }: MeshNode): number {
  return mesh.getMembers().filter((record) => record.state === 'alive').length;
}

function recordArrival(arrivals: Map<number, number[]>, version: number): void {
  const times = arrivals.get(version);
  if (times === undefined) arrivals.set(version, [performance.now()]);
  else times.push(performance.now());
}

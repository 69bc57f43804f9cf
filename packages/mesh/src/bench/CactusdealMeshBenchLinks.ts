import { createSilentLog, waitMs } from '@cactusdeal/shared';
import { createMeshNode, type MeshNode } from '../CactusdealMesh.js';
import { createOptions, waitFor } from './CactusdealMeshBenchFleet.js';
import { createCountedEntry, createCountingState } from './CactusdealMeshBenchState.js';

/** Traffic between data centres, for a given number of data centres and daemons in each. */
export interface LinkResult {
  readonly dataCentres: number;
  readonly daemonsEach: number;
  readonly links: number;
  /** Bytes that all daemons together sent to other data centres without any change. */
  readonly idleBytesPerSecond: number;
  /**
   * Like `idleBytesPerSecond`, while workers of one data centre drain in turn, one per drain
   * interval.
   */
  readonly drainingBytesPerSecond: number;
  /** From a worker's drain until every daemon elsewhere knew of it, largest of several. */
  readonly drainMs: number;
  /** From the publication of an entry in one data centre until all daemons held it. */
  readonly entryMs: number;
}

const SETTLE_MS = 8000;
const WINDOW_MS = 10_000;
const DRAINS = 8;
const DRAIN_INTERVAL_MS = 1250;
const MS_PER_SECOND = 1000;
const SLOTS = 12;

/** Starts the data centres, measures the traffic between them, and stops them. */
export async function measureLinks(dataCentres: number, daemonsEach: number): Promise<LinkResult> {
  const states = new Map<MeshNode, ReturnType<typeof createCountingState>>();
  const nodesByDataCentre = await startDataCentres(dataCentres, daemonsEach, states);
  const nodes = nodesByDataCentre.flat();
  nodes.forEach(({ mesh }) => mesh.setWorker(createWorker('ready')));
  const remoteSlots = (dataCentres - 1) * daemonsEach * SLOTS;
  await waitFor(() => nodes.every((node) => countSlots(node) === remoteSlots));
  await waitMs(SETTLE_MS);
  const links = nodes.reduce((sum, { mesh }) => sum + Number(mesh.getCounters().links), 0) / 2;
  const idleBytesPerSecond = await measureRemoteBytesPerSecond(nodes, () => waitMs(WINDOW_MS));
  let drainMs = 0;
  const drainingBytesPerSecond = await measureRemoteBytesPerSecond(nodes, async () => {
    for (let index = 0; index < DRAINS; index += 1) {
      drainMs = Math.max(drainMs, await measureDrain(nodesByDataCentre, index, remoteSlots));
    }
  });
  const entryMs = await measureEntryMs(nodesByDataCentre, states);
  await Promise.all(nodes.map(({ mesh }) => mesh.close()));
  return {
    dataCentres,
    daemonsEach,
    links,
    idleBytesPerSecond,
    drainingBytesPerSecond,
    drainMs,
    entryMs,
  };
}

async function startDataCentres(
  dataCentres: number,
  daemonsEach: number,
  states: Map<MeshNode, ReturnType<typeof createCountingState>>,
): Promise<MeshNode[][]> {
  const remoteContacts: Record<string, string[]> = {};
  const nodesByDataCentre: MeshNode[][] = [];
  for (let number = 0; number < dataCentres; number += 1) {
    const dataCentre = `zone-${number}`;
    const contacts: string[] = [];
    const nodes: MeshNode[] = [];
    for (let index = 0; index < daemonsEach; index += 1) {
      const state = createCountingState(64);
      const options = createOptions(number * 250 + index, state, contacts);
      const others = { ...remoteContacts };
      const log = createSilentLog();
      const node = await createMeshNode({ ...options, dataCentre, remoteContacts: others, log });
      states.set(node, state);
      contacts.push(node.mesh.getSelf().meshAddress);
      nodes.push(node);
    }
    remoteContacts[dataCentre] = contacts.slice(0, 4);
    nodesByDataCentre.push(nodes);
  }
  return nodesByDataCentre;
}

async function measureDrain(
  nodesByDataCentre: readonly MeshNode[][],
  index: number,
  remoteSlots: number,
): Promise<number> {
  const [first = [], ...others] = nodesByDataCentre;
  const startedAtMs = performance.now();
  first[index % first.length]?.mesh.setWorker(createWorker('draining'));
  await waitFor(() => others.flat().every((node) => countSlots(node) === remoteSlots - SLOTS));
  const durationMs = performance.now() - startedAtMs;
  first[index % first.length]?.mesh.setWorker(createWorker('ready'));
  await waitFor(() => others.flat().every((node) => countSlots(node) === remoteSlots));
  await waitMs(Math.max(0, DRAIN_INTERVAL_MS - (performance.now() - startedAtMs)));
  return durationMs;
}

async function measureEntryMs(
  nodesByDataCentre: readonly MeshNode[][],
  states: ReadonlyMap<MeshNode, ReturnType<typeof createCountingState>>,
): Promise<number> {
  const entry = createCountedEntry(1);
  const source = nodesByDataCentre[0]?.[0] as MeshNode;
  const startedAtMs = performance.now();
  states.get(source)?.acceptEntry(entry);
  source.mesh.publishEntry(entry);
  await waitFor(() => [...states.values()].every((state) => state.version === 1));
  return performance.now() - startedAtMs;
}

async function measureRemoteBytesPerSecond(
  nodes: readonly MeshNode[],
  run: () => Promise<void>,
): Promise<number> {
  const countBytes = () =>
    nodes.reduce((sum, { mesh }) => sum + Number(mesh.getCounters()['remote.sentBytes']), 0);
  const before = countBytes();
  const startedAtMs = performance.now();
  await run();
  return ((countBytes() - before) * MS_PER_SECOND) / (performance.now() - startedAtMs);
}

function countSlots({ mesh }: MeshNode): number {
  return mesh.getSummaries().reduce((sum, summary) => sum + summary.readySlots, 0);
}

function createWorker(state: 'ready' | 'draining') {
  return { name: 'paint-3', services: ['paint-orders'], slots: SLOTS, state, readyAtMs: 0 };
}

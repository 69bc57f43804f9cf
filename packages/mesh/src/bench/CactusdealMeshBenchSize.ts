import { waitMs } from '@cactusdeal/shared';
import type { MeshNode } from '../CactusdealMesh.js';
import { countAlive, type Fleet, startFleet, waitFor } from './CactusdealMeshBenchFleet.js';
import {
  computeDistribution,
  type Distribution,
  measureUsage,
  type Usage,
} from './CactusdealMeshBenchMeasure.js';
import { createCountedEntry } from './CactusdealMeshBenchState.js';

/** Results for one number of daemons. */
export interface SizeResult {
  readonly size: number;
  readonly joinMs: number;
  readonly meanDegree: number;
  readonly maxDegree: number;
  readonly idle: Usage;
  readonly changing: Usage;
  /** From the publication of an entry until a daemon held it. */
  readonly entryArrival: Distribution;
  /** From a worker's change to draining until a daemon knew of it. */
  readonly drainArrival: Distribution;
  /** Arrivals of entries and drains that were expected but not seen. */
  readonly missedArrivals: number;
  readonly maxHops: number;
  readonly survey: SurveyCost;
  readonly loss: LossResult;
  /** Growth of the resident memory of the process, divided by the number of meshes. */
  readonly residentBytesPerMesh: number;
}

interface SurveyCost {
  readonly answered: number;
  readonly durationMs: number;
  readonly bytesPerDaemon: number;
}

interface LossResult {
  readonly killed: number;
  /**
   * From the kill until exactly the survivors were alive in every survivor's table; NaN after a
   * timeout.
   */
  readonly agreementMs: number;
  /** Number of survivors that any survivor wrongly declared dead meanwhile. */
  readonly falseDeaths: number;
}

const SETTLE_MS = 5000;
const WINDOW_MS = 10_000;
const CHANGES = 10;
const CHANGE_INTERVAL_MS = 1000;
const SURVEY_TIMEOUT_MS = 5000;
const KILLED_RATIO = 0.25;

/** Starts a fleet of `size` daemons, measures it and stops it. */
export async function measureSize(size: number): Promise<SizeResult> {
  const residentBefore = process.memoryUsage().rss;
  const fleet = await startFleet(size);
  await waitMs(SETTLE_MS);
  const degrees = fleet.nodes.map((node) => Number(node.mesh.getCounters().degree));
  const idle = await measureUsage(fleet.nodes, () => waitMs(WINDOW_MS));
  const changes = await measureChanges(fleet);
  const survey = await measureSurvey(fleet);
  const residentBytesPerMesh = (process.memoryUsage().rss - residentBefore) / size;
  const loss = await measureLoss(fleet);
  await fleet.close();
  return {
    size,
    joinMs: fleet.joinMs,
    meanDegree: degrees.reduce((sum, degree) => sum + degree, 0) / size,
    maxDegree: Math.max(...degrees),
    idle,
    ...changes,
    survey,
    loss,
    residentBytesPerMesh,
  };
}

type ChangesResult = Pick<
  SizeResult,
  'changing' | 'entryArrival' | 'drainArrival' | 'missedArrivals' | 'maxHops'
>;

/** Measures one new version and one draining worker a second. */
async function measureChanges(fleet: Fleet): Promise<ChangesResult> {
  const published = new Map<number, number>();
  const drained = new Map<string, number>();
  const drainTimesMs: number[] = [];
  fleet.nodes.forEach(({ mesh }) =>
    mesh.observeMembers((record) => {
      const startedAtMs = drained.get(record.id);
      if (record.worker?.state !== 'draining' || startedAtMs === undefined) return;
      if (record.id !== mesh.getSelf().id) drainTimesMs.push(performance.now() - startedAtMs);
    }),
  );
  const changing = await measureUsage(fleet.nodes, async () => {
    for (let version = 1; version <= CHANGES; version += 1) {
      published.set(version, performance.now());
      publishVersion(fleet, version);
      await waitMs(CHANGE_INTERVAL_MS / 2);
      startDrain(fleet.nodes[version % fleet.nodes.length] as MeshNode, drained);
      await waitMs(CHANGE_INTERVAL_MS / 2);
    }
  });
  await waitFor(() => fleet.states.every((state) => state.version === CHANGES));
  const wanted = CHANGES * (fleet.nodes.length - 1);
  await waitFor(() => drainTimesMs.length >= wanted);
  const entryTimesMs = [...published].flatMap(([version, startedAtMs]) =>
    (fleet.arrivals.get(version) ?? []).slice(1).map((atMs) => atMs - startedAtMs),
  );
  return {
    changing,
    entryArrival: computeDistribution(entryTimesMs),
    drainArrival: computeDistribution(drainTimesMs),
    missedArrivals: 2 * wanted - entryTimesMs.length - drainTimesMs.length,
    maxHops: Math.max(
      ...fleet.nodes.map(({ mesh }) => Number(mesh.getCounters().broadcastMaxHops)),
    ),
  };
}

function publishVersion(fleet: Fleet, version: number): void {
  const entry = createCountedEntry(version);
  fleet.states[0]?.acceptEntry(entry);
  fleet.nodes[0]?.mesh.publishEntry(entry);
}

function startDrain({ mesh }: MeshNode, drained: Map<string, number>): void {
  drained.set(mesh.getSelf().id, performance.now());
  mesh.setWorker({
    name: 'paint-orders-3',
    services: ['paint-orders'],
    slots: 12,
    state: 'draining',
    readyAtMs: Date.now(),
  });
}

async function measureSurvey({ nodes }: Fleet): Promise<SurveyCost> {
  const countBytes = () =>
    nodes.reduce((sum, { mesh }) => sum + Number(mesh.getCounters()['local.sentBytes']), 0);
  const before = countBytes();
  const startedAtMs = performance.now();
  const result = await (nodes[0] as MeshNode).mesh.survey(CHANGES, SURVEY_TIMEOUT_MS);
  return {
    answered: result.answered,
    durationMs: performance.now() - startedAtMs,
    bytesPerDaemon: (countBytes() - before) / nodes.length,
  };
}

async function measureLoss(fleet: Fleet): Promise<LossResult> {
  const killed = Math.floor(fleet.nodes.length * KILLED_RATIO);
  const killedNodes = fleet.nodes.splice(fleet.nodes.length - killed, killed);
  const survivorIds = new Set(fleet.nodes.map(({ mesh }) => mesh.getSelf().id));
  const falseDeaths = new Set<string>();
  fleet.nodes.forEach(({ mesh }) =>
    mesh.observeMembers((record) => {
      if (record.state === 'dead' && survivorIds.has(record.id)) falseDeaths.add(record.id);
    }),
  );
  const startedAtMs = performance.now();
  await Promise.all(killedNodes.map((node) => node.kill()));
  const isAgreed = await waitFor(() =>
    fleet.nodes.every((node) => countAlive(node) === survivorIds.size),
  );
  return {
    killed,
    agreementMs: isAgreed ? performance.now() - startedAtMs : NaN,
    falseDeaths: falseDeaths.size,
  };
}

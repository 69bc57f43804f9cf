import { getWallTimeMs } from '@cactusdeal/shared';
import type { Cluster, UpstreamRecord } from '@cactusdeal/testing';
import { buildClusterLoad, runClusterLoad, startBenchCluster } from './CactusdealBenchCluster.js';
import {
  computeLoad,
  FLOOD_CLASSES,
  FLOOD_SCENARIOS,
  FLOOD_SLOTS,
  FLOOD_WORKERS,
  type FloodScenario,
} from './CactusdealBenchFloodScenario.js';
import type { ClassResult } from './CactusdealBenchLoadTypes.js';

/** One class on one day, as callers of real daemons saw it. */
export interface ClusterClassReport {
  readonly name: string;
  readonly sent: number;
  readonly goodRatio: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly targetP99Ms: number;
  /** Slot time by the upstreams' own records, as a part of all. */
  readonly usedShare: number;
  readonly ensuredShare: number;
  readonly endings: Readonly<Record<string, number>>;
}

/** One day on real daemons. */
export interface ClusterFloodReport {
  readonly scenario: string;
  /** Slot time of whole answers by the upstreams' own records, over what all slots have. */
  readonly answeredWork: number;
  /** Most requests that any upstream ran at once; the slots are 12. */
  readonly mostAtOnce: number;
  /** p99 of the time by which the load tool sent late. */
  readonly sendDelayP99Ms: number;
  readonly classes: readonly ClusterClassReport[];
}

const SCALE = 3;
const WARM_UP_MS = 2_000;
const TOTAL_SLOTS = FLOOD_WORKERS * FLOOD_SLOTS;

/** Runs every scenario against daemons and upstreams in processes of their own. */
export async function runClusterFlood(
  durationMs: number,
  seed: number,
): Promise<ClusterFloodReport[]> {
  const cluster = await startBenchCluster();
  try {
    const reports: ClusterFloodReport[] = [];
    for (const scenario of FLOOD_SCENARIOS) {
      reports.push(await runScenario(cluster, scenario, durationMs, seed));
    }
    return reports;
  } finally {
    await cluster.close();
  }
}

async function runScenario(
  cluster: Cluster,
  scenario: FloodScenario,
  durationMs: number,
  seed: number,
): Promise<ClusterFloodReport> {
  const startedAtMs = getWallTimeMs();
  const load = buildClusterLoad(scenario, SCALE);
  const { classes } = await runClusterLoad(cluster, load, durationMs, seed);
  const fetched = await Promise.all(cluster.hosts.map((host) => host.fetchRecords()));
  const records = fetched.flat().filter((record) => record.startedAtMs >= startedAtMs);
  const window = { fromMs: startedAtMs + WARM_UP_MS, toMs: startedAtMs + durationMs };
  const answered = records.filter(({ wasCutOff }) => !wasCutOff);
  return {
    scenario: scenario.name,
    answeredWork: measureSlots(answered, window),
    mostAtOnce: Math.max(0, ...records.map(({ concurrent }) => concurrent)),
    sendDelayP99Ms: Math.max(...classes.map(({ sendDelay }) => sendDelay.p99Ms)),
    classes: classes.map((measured) => {
      const own = answered.filter(({ path }) => path === `/${measured.name}`);
      return buildClassReport(measured, scenario, measureSlots(own, window));
    }),
  };
}

function measureSlots(
  records: readonly UpstreamRecord[],
  window: { readonly fromMs: number; readonly toMs: number },
): number {
  let heldMs = 0;
  records.forEach(({ startedAtMs, endedAtMs = startedAtMs }) => {
    const fromMs = Math.max(startedAtMs, window.fromMs);
    heldMs += Math.max(0, Math.min(endedAtMs, window.toMs) - fromMs);
  });
  return toThousandths(heldMs / ((window.toMs - window.fromMs) * TOTAL_SLOTS));
}

function buildClassReport(
  measured: ClassResult,
  scenario: FloodScenario,
  usedShare: number,
): ClusterClassReport {
  const floodClass = FLOOD_CLASSES.find(({ name }) => name === measured.name);
  const wanted = floodClass === undefined ? 0 : computeLoad(floodClass, scenario);
  return {
    name: measured.name,
    sent: measured.sent,
    goodRatio: toThousandths(measured.good / Math.max(1, measured.sent)),
    p50Ms: measured.latency.p50Ms,
    p99Ms: measured.latency.p99Ms,
    targetP99Ms: floodClass?.targetP99Ms ?? 0,
    usedShare,
    ensuredShare: toThousandths(Math.min(floodClass?.share ?? 0, wanted)),
    endings: measured.endings,
  };
}

function toThousandths(number: number): number {
  return Math.round(number * 1_000) / 1_000;
}

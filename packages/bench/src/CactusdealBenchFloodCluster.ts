import { getWallTimeMs } from '@cactusdeal/shared';
import type { Cluster, UpstreamRecord } from '@cactusdeal/testing';
import { buildClusterLoad, runClusterLoad, startBenchCluster } from './CactusdealBenchCluster.js';
import {
  computeOfferedLoad,
  FLOOD_SCENARIOS,
  FLOOD_WORKER_COUNT,
  type FloodScenario,
  SLOTS_PER_WORKER,
  TRAFFIC_CLASSES,
} from './CactusdealBenchFloodScenario.js';
import type { ClassResult } from './CactusdealBenchLoadTypes.js';

/** Results of one class in one scenario, as callers of real daemons saw them. */
export interface ClusterClassReport {
  readonly name: string;
  readonly sent: number;
  readonly goodRatio: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly targetP99Ms: number;
  /**
   * Fraction of all slot time used by answered requests of the class, from the upstreams' records.
   */
  readonly usedShare: number;
  /**
   * Fraction of all slot time guaranteed to the class: the lesser of its share and its offered
   * load.
   */
  readonly ensuredShare: number;
  readonly endings: Readonly<Record<string, number>>;
}

/** Results of one scenario on real daemons. */
export interface ClusterFloodReport {
  readonly scenario: string;
  /**
   * Fraction of all slot time used by requests that were answered in full, from the upstreams'
   * records.
   */
  readonly answeredWork: number;
  /** Maximum number of requests that ran concurrently in one upstream, which has 12 slots. */
  readonly mostAtOnce: number;
  /** p99 of the delay between scheduled and actual send time in the load tool, worst class. */
  readonly sendDelayP99Ms: number;
  readonly classes: readonly ClusterClassReport[];
}

const DURATION_FACTOR = 3;
const WARM_UP_MS = 2_000;
const TOTAL_SLOTS = FLOOD_WORKER_COUNT * SLOTS_PER_WORKER;

/** Runs every scenario against daemons and upstreams that run as separate processes. */
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
  const load = buildClusterLoad(scenario, DURATION_FACTOR);
  const { classes } = await runClusterLoad(cluster, load, durationMs, seed);
  const fetched = await Promise.all(cluster.hosts.map((host) => host.fetchRecords()));
  const records = fetched.flat().filter((record) => record.startedAtMs >= startedAtMs);
  const window = { fromMs: startedAtMs + WARM_UP_MS, toMs: startedAtMs + durationMs };
  const answered = records.filter(({ wasCutOff }) => !wasCutOff);
  return {
    scenario: scenario.name,
    answeredWork: measureUtilisation(answered, window),
    mostAtOnce: Math.max(0, ...records.map(({ concurrent }) => concurrent)),
    sendDelayP99Ms: Math.max(...classes.map(({ sendDelay }) => sendDelay.p99Ms)),
    classes: classes.map((measured) => {
      const answeredOfClass = answered.filter(({ path }) => path === `/${measured.name}`);
      return buildClassReport(measured, scenario, measureUtilisation(answeredOfClass, window));
    }),
  };
}

function measureUtilisation(
  records: readonly UpstreamRecord[],
  window: { readonly fromMs: number; readonly toMs: number },
): number {
  let occupiedMs = 0;
  records.forEach(({ startedAtMs, endedAtMs = startedAtMs }) => {
    const fromMs = Math.max(startedAtMs, window.fromMs);
    occupiedMs += Math.max(0, Math.min(endedAtMs, window.toMs) - fromMs);
  });
  return toThousandths(occupiedMs / ((window.toMs - window.fromMs) * TOTAL_SLOTS));
}

function buildClassReport(
  measured: ClassResult,
  scenario: FloodScenario,
  usedShare: number,
): ClusterClassReport {
  const trafficClass = TRAFFIC_CLASSES.find(({ name }) => name === measured.name);
  const offeredLoad = trafficClass === undefined ? 0 : computeOfferedLoad(trafficClass, scenario);
  return {
    name: measured.name,
    sent: measured.sent,
    goodRatio: toThousandths(measured.good / Math.max(1, measured.sent)),
    p50Ms: measured.latency.p50Ms,
    p99Ms: measured.latency.p99Ms,
    targetP99Ms: trafficClass?.targetP99Ms ?? 0,
    usedShare,
    ensuredShare: toThousandths(Math.min(trafficClass?.share ?? 0, offeredLoad)),
    endings: measured.endings,
  };
}

function toThousandths(number: number): number {
  return Math.round(number * 1_000) / 1_000;
}

import { mkdtemp, rm } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import { waitMs } from '@cactusdeal/shared';
import {
  type Cluster,
  createLedger,
  fetchStatus,
  type Host,
  isReady,
  type Ledger,
  startVersionWatch,
  type VersionWatch,
  waitUntil,
} from '@cactusdeal/testing';
import type { DemoOrganisation } from './CactusdealDemoOrganisationTypes.js';
import {
  type ClassSummary,
  computeServiceCapacity,
  findQuantile,
  listRunningHosts,
  runCalls,
} from './CactusdealDemoCalls.js';
import { listOperations, startDemoCluster } from './CactusdealDemoCluster.js';
import { countControlBytes, measureConvergence } from './CactusdealDemoConvergence.js';
import { createOperator, type DemoOperator } from './CactusdealDemoOperator.js';
import type { DemoCheck, DemoReport, FloodResult } from './CactusdealDemoReport.js';

const NORMAL_LOAD_MS = 8000;
const FLOOD_LOAD_MS = 8000;
const DRAIN_LOAD_MS = 6000;
const RESTART_LOAD_MS = 6000;
const IDLE_PHASE_MS = 3000;
const WEIGHT_CHANGES = 4;
const MAX_CONVERGENCE_MS = 4000;
/** Maximum time from the drain in force at every daemon to the worker's last new call. */
const MAX_DRAIN_MS = 3000;
/** Minimum fraction of each class's calls that must be answered in time under normal load. */
const MIN_NORMAL_IN_TIME = 0.99;
/**
 * The same for the classes that do not flood during a flood, and for all calls during a restart.
 */
const MIN_DISTURBED_IN_TIME = 0.95;
const SEED = 20261204;

/** State of a demo run. */
interface DemoRun {
  readonly organisation: DemoOrganisation;
  readonly cluster: Cluster;
  readonly operator: DemoOperator;
  readonly ledger: Ledger;
  readonly watch: VersionWatch;
  readonly directory: string;
  readonly print: (line: string) => void;
  readonly checks: DemoCheck[];
  readonly convergenceMs: number[];
}

/**
 * Runs the demo of an organisation with real processes: configuration, normal load, weight changes, a
 * flood, a drain and the restart of a daemon. Measures each step and checks the results.
 */
export async function runDemo(
  organisation: DemoOrganisation,
  print: (line: string) => void,
): Promise<DemoReport> {
  print(`starting ${organisation.name}: ${organisation.dataCentres.join(', ')}`);
  const cluster = await startDemoCluster(organisation);
  const directory = await mkdtemp(path.join(os.tmpdir(), 'cactusdeal-demo-'));
  const watch = startVersionWatch(cluster.hosts);
  const run: DemoRun = {
    ...{ organisation, cluster, watch, directory, print },
    operator: createOperator(findOperatorHost(organisation, cluster)),
    ledger: createLedger(),
    checks: [],
    convergenceMs: [],
  };
  try {
    return await runSteps(run);
  } finally {
    await watch.close();
    await cluster.close();
    await rm(directory, { recursive: true });
  }
}

async function runSteps(run: DemoRun): Promise<DemoReport> {
  const { organisation, cluster } = run;
  await applyConfiguration(run);
  const idlePerSecond = await measureIdle(run);
  const service = await runNormalLoad(run);
  const perChange = await measureChanges(run);
  const flood = await runFlood(run, service);
  await runDrain(run);
  await runDaemonRestart(run);
  await checkInvariants(run);
  const sorted = [...run.convergenceMs].sort((left, right) => left - right);
  return {
    body: organisation.name,
    daemons: cluster.hosts.length,
    convergence: {
      changes: sorted.length,
      p50Ms: findQuantile(sorted, 0.5),
      largestMs: findQuantile(sorted, 1),
    },
    controlBytes: {
      idlePerSecond,
      idlePerSecondAndDaemon: Math.round(idlePerSecond / cluster.hosts.length),
      perChange,
    },
    service,
    flood,
    checks: run.checks,
    passed: run.checks.every(({ passed }) => passed),
  };
}

async function applyConfiguration(run: DemoRun): Promise<void> {
  run.print('plan and confirm the services and routes');
  const plan = await run.operator.planOperations(listOperations(run.organisation), run.directory);
  const before = await listVersions(run.cluster);
  addCheck(run, 'nothing changes before the confirmation', before.every(isZero), `${before}`);
  await confirmAndMeasure(run, plan);
  await waitUntil(() => isEveryServiceAnswering(run), {
    what: 'status 200 for every GET route at every daemon',
  });
}

const isZero = (value: number): boolean => value === 0;

function listVersions(cluster: Cluster): Promise<number[]> {
  return Promise.all(cluster.hosts.map(async (host) => (await fetchStatus(host)).version));
}

async function confirmAndMeasure(
  run: DemoRun,
  plan: Awaited<ReturnType<DemoOperator['plan']>>,
): Promise<void> {
  const startMs = performance.now();
  const version = await run.operator.confirm(plan);
  const tookMs = await measureConvergence(run.cluster, version, startMs);
  run.convergenceMs.push(tookMs ?? Infinity);
  const name = `version ${version} is in force everywhere within ${MAX_CONVERGENCE_MS} ms`;
  const inTime = tookMs !== undefined && tookMs <= MAX_CONVERGENCE_MS;
  addCheck(run, name, inTime, tookMs === undefined ? 'never' : `${Math.round(tookMs)} ms`);
}

/** Whether every daemon answers a call on each GET route with status 200. */
async function isEveryServiceAnswering({
  organisation,
  cluster,
  ledger,
}: DemoRun): Promise<boolean> {
  const calls = organisation.calls.filter(({ route }) => route.method === 'GET');
  const results = await Promise.all(
    cluster.hosts.flatMap((host) =>
      calls.map(({ name, route }) =>
        ledger.send(host, {
          requestId: `first-${host.id}-${name}-${performance.now()}`,
          method: 'GET',
          path: route.pathPrefix,
        }),
      ),
    ),
  );
  return results.every(({ status }) => status === 200);
}

async function measureIdle(run: DemoRun): Promise<number> {
  run.print('measure control bytes between data centres while idle');
  const before = countControlBytes(run.cluster);
  await waitMs(IDLE_PHASE_MS);
  return Math.round(((countControlBytes(run.cluster) - before) * 1000) / IDLE_PHASE_MS);
}

async function runNormalLoad(run: DemoRun): Promise<ClassSummary[]> {
  run.print('normal load of all classes');
  const summaries = await runCalls(run.organisation, run.ledger, {
    ...{ durationMs: NORMAL_LOAD_MS, seed: SEED, requestIdPrefix: 'ordinary' },
    hosts: listRunningHosts(run.cluster),
  });
  summaries.forEach(({ name, calls, inTime }) => {
    const seen = `${inTime} of ${calls}`;
    addCheck(run, `${name} in time on an ordinary day`, inTime >= MIN_NORMAL_IN_TIME * calls, seen);
  });
  return summaries;
}

/**
 * Changes weights several times and returns the bytes between data centres per change, with the idle
 * traffic subtracted.
 */
async function measureChanges(run: DemoRun): Promise<number> {
  run.print('change weights');
  const { organisation, cluster, operator } = run;
  const idle = await measureIdle(run);
  const before = countControlBytes(cluster);
  const startMs = performance.now();
  for (let index = 1; index <= WEIGHT_CHANGES; index += 1) {
    const pairs = organisation.dataCentres.map(
      (name, dataCentreIndex) => `${name}=${dataCentreIndex === 0 ? index : 1}`,
    );
    await confirmAndMeasure(
      run,
      await operator.plan('weights', organisation.reconfiguredService, ...pairs),
    );
  }
  const elapsedMs = performance.now() - startMs;
  const extraBytes = countControlBytes(cluster) - before - (idle * elapsedMs) / 1000;
  return Math.max(0, Math.round(extraBytes / WEIGHT_CHANGES));
}

async function runFlood(run: DemoRun, normal: readonly ClassSummary[]): Promise<FloodResult[]> {
  const { call, capacityMultiple } = run.organisation.flood;
  run.print(`flood of ${call}: ${capacityMultiple} times the capacity of its service`);
  const summaries = await runCalls(run.organisation, run.ledger, {
    ...{ durationMs: FLOOD_LOAD_MS, seed: SEED + 1, requestIdPrefix: 'flood' },
    hosts: listRunningHosts(run.cluster),
    rates: { [call]: capacityMultiple * computeServiceCapacity(run.organisation, call) },
  });
  const results = summaries.map((summary, index) =>
    buildFloodResult(summary, normal[index] ?? summary, call),
  );
  results
    .filter(({ isFlood }) => !isFlood)
    .forEach(({ name, during }) => {
      const seen = `${(during * 100).toFixed(1)} %`;
      addCheck(run, `${name} in time during the flood`, during >= MIN_DISTURBED_IN_TIME, seen);
    });
  return results;
}

function buildFloodResult(
  summary: ClassSummary,
  before: ClassSummary,
  floodingClass: string,
): FloodResult {
  return {
    name: summary.name,
    rank: summary.rank,
    isFlood: summary.name === floodingClass,
    before: before.inTime / Math.max(1, before.calls),
    during: summary.inTime / Math.max(1, summary.calls),
    inTimePerSecond: (summary.inTime * 1000) / FLOOD_LOAD_MS,
  };
}

async function runDrain(run: DemoRun): Promise<void> {
  const host = findWorkerHost(run.organisation, run.cluster);
  const name = host.worker?.name ?? '';
  run.print(`drain worker ${name}`);
  const load = runCalls(run.organisation, run.ledger, {
    ...{ durationMs: DRAIN_LOAD_MS, seed: SEED + 2, requestIdPrefix: 'drain' },
    hosts: listRunningHosts(run.cluster),
  });
  const flags = ['--service', run.organisation.reconfiguredService, '--reason', 'demo'];
  await confirmAndMeasure(run, await run.operator.plan('drain', name, ...flags));
  const inForceAtMs = Date.now();
  await load;
  const records = await host.fetchRecords();
  const lastStartDelayMs = Math.max(
    0,
    ...records.map(({ startedAtMs }) => startedAtMs - inForceAtMs),
  );
  const cutOff = records.filter(({ wasCutOff }) => wasCutOff).length;
  addCheck(
    run,
    `${name} gets no new call after ${MAX_DRAIN_MS} ms`,
    records.length > 0 && lastStartDelayMs <= MAX_DRAIN_MS,
    `last of ${records.length} after ${lastStartDelayMs} ms`,
  );
  addCheck(run, `the drain cuts off no call`, cutOff === 0, `${cutOff} cut off`);
  await confirmAndMeasure(run, await run.operator.plan('undrain', name));
}

/** Finds a host in the first data centre whose worker serves the reconfigured service. */
function findWorkerHost(organisation: DemoOrganisation, cluster: Cluster): Host {
  const local = cluster.listHosts(organisation.dataCentres[0] ?? '');
  const candidates = local.filter(({ worker }) =>
    worker?.services.includes(organisation.reconfiguredService),
  );
  return candidates.at(-1) as Host;
}

/** Finds another host of the same data centre; the operator uses its daemon. */
function findOperatorHost(organisation: DemoOrganisation, cluster: Cluster): Host {
  const workerHost = findWorkerHost(organisation, cluster);
  const local = cluster.listHosts(workerHost.dataCentre);
  return local.find((host) => host !== workerHost) as Host;
}

async function runDaemonRestart(run: DemoRun): Promise<void> {
  const { cluster } = run;
  const host = findWorkerHost(run.organisation, run.cluster);
  run.print(`kill and restart daemon ${host.id}`);
  const otherHosts = cluster.hosts.filter((other) => other !== host);
  const load = runCalls(run.organisation, run.ledger, {
    ...{ durationMs: RESTART_LOAD_MS, seed: SEED + 3, requestIdPrefix: 'restart' },
    hosts: otherHosts,
  });
  await host.getDaemon().kill();
  await confirmAndMeasure(
    run,
    await run.operator.plan(
      'weights',
      run.organisation.reconfiguredService,
      `${host.dataCentre}=1`,
    ),
  );
  await host.startDaemon();
  await waitUntil(() => isReady(host), { what: `daemon ${host.id} ready after its restart` });
  const { version } = await fetchStatus(host);
  const newest = run.watch.getHighestVersion();
  addCheck(run, `${host.id} is back at the newest version`, version >= newest, `${version}`);
  const summaries = await load;
  const calls = summaries.reduce((sum, summary) => sum + summary.calls, 0);
  const inTime = summaries.reduce((sum, summary) => sum + summary.inTime, 0);
  const isServing = inTime >= MIN_DISTURBED_IN_TIME * calls;
  addCheck(run, 'the others serve meanwhile', isServing, `${inTime} of ${calls} in time`);
}

async function checkInvariants(run: DemoRun): Promise<void> {
  const { cluster, ledger, watch } = run;
  const versionBreaches = watch.getViolations();
  addCheck(
    run,
    'no daemon went back or held a route without its service',
    versionBreaches.length === 0,
    versionBreaches[0] ?? 'none',
  );
  const callBreaches = await ledger.collectViolations(cluster.hosts);
  const calls = ledger.getResults().length;
  const name = 'whole answers, refusals that did not run, nothing done twice';
  addCheck(run, name, callBreaches.length === 0, callBreaches[0] ?? `${calls} calls`);
}

function addCheck(run: DemoRun, name: string, passed: boolean, seen: string): void {
  run.checks.push({ name, passed, seen });
}

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
import type { DemoBody } from './CactusdealDemoBodyTypes.js';
import {
  type ClassSummary,
  computeCapacity,
  findQuantile,
  listCallHosts,
  runCalls,
} from './CactusdealDemoCalls.js';
import { listOperations, startBody } from './CactusdealDemoCluster.js';
import { countControlBytes, measureConvergence } from './CactusdealDemoConvergence.js';
import { createOperator, type DemoOperator } from './CactusdealDemoOperator.js';
import type { DemoCheck, DemoReport, FloodShare } from './CactusdealDemoReport.js';

const ORDINARY_MS = 8000;
const FLOOD_MS = 8000;
const DRAIN_MS = 6000;
const RESTART_MS = 6000;
const IDLE_MS = 3000;
const WEIGHT_CHANGES = 4;
const CONVERGENCE_TARGET_MS = 4000;
const DRAIN_TARGET_MS = 3000;
const IN_TIME_TARGET = 0.99;
const FLOOD_TARGET = 0.95;
const SEED = 20261204;

/** One run of the demo, while it goes on. */
interface DemoRun {
  readonly body: DemoBody;
  readonly cluster: Cluster;
  readonly operator: DemoOperator;
  readonly ledger: Ledger;
  readonly watch: VersionWatch;
  readonly directory: string;
  readonly print: (line: string) => void;
  readonly checks: DemoCheck[];
  readonly convergenceMs: number[];
}

/** Plays the main job of a body with real processes and measures it. */
export async function runDemo(body: DemoBody, print: (line: string) => void): Promise<DemoReport> {
  print(`starting ${body.name}: ${body.dataCentres.join(', ')}`);
  const cluster = await startBody(body);
  const directory = await mkdtemp(path.join(os.tmpdir(), 'cactusdeal-demo-'));
  const watch = startVersionWatch(cluster.hosts);
  const run: DemoRun = {
    ...{ body, cluster, watch, directory, print },
    operator: createOperator(findOperatorHost(body, cluster)),
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
  const { body, cluster } = run;
  await acceptConfiguration(run);
  const idlePerSecond = await measureIdle(run);
  const service = await runOrdinary(run);
  const perChange = await measureChanges(run);
  const flood = await runFlood(run, service);
  await runDrain(run);
  await runRestart(run);
  await checkAtEnd(run);
  const sorted = [...run.convergenceMs].sort((left, right) => left - right);
  return {
    body: body.name,
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

async function acceptConfiguration(run: DemoRun): Promise<void> {
  run.print('plan: services and routes of the body');
  const plan = await run.operator.planOperations(listOperations(run.body), run.directory);
  const before = await listVersions(run.cluster);
  addCheck(run, 'nothing changes before the confirmation', before.every(isZero), `${before}`);
  await confirm(run, plan);
  await waitUntil(() => isServed(run), { what: 'a whole answer from each service' });
}

const isZero = (value: number): boolean => value === 0;

function listVersions(cluster: Cluster): Promise<number[]> {
  return Promise.all(cluster.hosts.map(async (host) => (await fetchStatus(host)).version));
}

async function confirm(
  run: DemoRun,
  plan: Awaited<ReturnType<DemoOperator['plan']>>,
): Promise<void> {
  const startMs = performance.now();
  const version = await run.operator.confirm(plan);
  const tookMs = await measureConvergence(run.cluster, version, startMs);
  run.convergenceMs.push(tookMs ?? Infinity);
  const name = `version ${version} is in force everywhere within ${CONVERGENCE_TARGET_MS} ms`;
  const inTime = tookMs !== undefined && tookMs <= CONVERGENCE_TARGET_MS;
  addCheck(run, name, inTime, tookMs === undefined ? 'never' : `${Math.round(tookMs)} ms`);
}

/** Whether every daemon gets an answer of every class that may run again. */
async function isServed({ body, cluster, ledger }: DemoRun): Promise<boolean> {
  const calls = body.calls.filter(({ route }) => route.method === 'GET');
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
  run.print('idle: control bytes between data centres');
  const before = countControlBytes(run.cluster);
  await waitMs(IDLE_MS);
  return Math.round(((countControlBytes(run.cluster) - before) * 1000) / IDLE_MS);
}

async function runOrdinary(run: DemoRun): Promise<ClassSummary[]> {
  run.print('calls by rank');
  const summaries = await runCalls(run.body, run.ledger, {
    ...{ durationMs: ORDINARY_MS, seed: SEED, label: 'ordinary' },
    hosts: listCallHosts(run.cluster),
  });
  summaries.forEach(({ name, calls, inTime }) => {
    const seen = `${inTime} of ${calls}`;
    addCheck(run, `${name} in time on an ordinary day`, inTime >= IN_TIME_TARGET * calls, seen);
  });
  return summaries;
}

/** Changes weights several times; answers bytes between data centres for one change, idle ones left out. */
async function measureChanges(run: DemoRun): Promise<number> {
  run.print('changes of weights');
  const { body, cluster, operator } = run;
  const idle = await measureIdle(run);
  const before = countControlBytes(cluster);
  const startMs = performance.now();
  for (let index = 1; index <= WEIGHT_CHANGES; index += 1) {
    const pairs = body.dataCentres.map((name, place) => `${name}=${place === 0 ? index : 1}`);
    await confirm(run, await operator.plan('weights', body.changedService, ...pairs));
  }
  const spentMs = performance.now() - startMs;
  const extra = countControlBytes(cluster) - before - (idle * spentMs) / 1000;
  return Math.max(0, Math.round(extra / WEIGHT_CHANGES));
}

async function runFlood(run: DemoRun, ordinary: readonly ClassSummary[]): Promise<FloodShare[]> {
  const { call, timesCapacity } = run.body.flood;
  run.print(`flood of ${call}: ${timesCapacity} times the capacity`);
  const summaries = await runCalls(run.body, run.ledger, {
    ...{ durationMs: FLOOD_MS, seed: SEED + 1, label: 'flood' },
    hosts: listCallHosts(run.cluster),
    rates: { [call]: timesCapacity * computeCapacity(run.body, call) },
  });
  const shares = summaries.map((summary, index) =>
    buildShare(summary, ordinary[index] ?? summary, call),
  );
  shares
    .filter(({ isFlood }) => !isFlood)
    .forEach(({ name, during }) => {
      const seen = `${(during * 100).toFixed(1)} %`;
      addCheck(run, `${name} in time during the flood`, during >= FLOOD_TARGET, seen);
    });
  return shares;
}

function buildShare(summary: ClassSummary, before: ClassSummary, flood: string): FloodShare {
  return {
    name: summary.name,
    rank: summary.rank,
    isFlood: summary.name === flood,
    before: before.inTime / Math.max(1, before.calls),
    during: summary.inTime / Math.max(1, summary.calls),
    inTimePerSecond: (summary.inTime * 1000) / FLOOD_MS,
  };
}

async function runDrain(run: DemoRun): Promise<void> {
  const host = findWorkerHost(run.body, run.cluster);
  const name = host.worker?.name ?? '';
  run.print(`drain of ${name}`);
  const load = runCalls(run.body, run.ledger, {
    ...{ durationMs: DRAIN_MS, seed: SEED + 2, label: 'drain' },
    hosts: listCallHosts(run.cluster),
  });
  const words = ['--service', run.body.changedService, '--reason', 'demo'];
  await confirm(run, await run.operator.plan('drain', name, ...words));
  const confirmedAtMs = Date.now();
  await load;
  const records = await host.fetchRecords();
  const lastMs = Math.max(0, ...records.map(({ startedAtMs }) => startedAtMs - confirmedAtMs));
  const cutOff = records.filter(({ wasCutOff }) => wasCutOff).length;
  addCheck(
    run,
    `${name} gets no new call after ${DRAIN_TARGET_MS} ms`,
    records.length > 0 && lastMs <= DRAIN_TARGET_MS,
    `last of ${records.length} after ${lastMs} ms`,
  );
  addCheck(run, `the drain cuts off no call`, cutOff === 0, `${cutOff} cut off`);
  await confirm(run, await run.operator.plan('undrain', name));
}

/** A host of the changed service, in the first data centre. */
function findWorkerHost(body: DemoBody, cluster: Cluster): Host {
  const local = cluster.listHosts(body.dataCentres[0] ?? '');
  const candidates = local.filter(({ worker }) => worker?.services.includes(body.changedService));
  return candidates.at(-1) as Host;
}

/** Another host of the same data centre, whose daemon the operator uses. */
function findOperatorHost(body: DemoBody, cluster: Cluster): Host {
  const worker = findWorkerHost(body, cluster);
  const local = cluster.listHosts(worker.dataCentre);
  return local.find((host) => host !== worker) as Host;
}

async function runRestart(run: DemoRun): Promise<void> {
  const { cluster } = run;
  const host = findWorkerHost(run.body, run.cluster);
  run.print(`daemon ${host.id} killed and back`);
  const hosts = cluster.hosts.filter((other) => other !== host);
  const load = runCalls(run.body, run.ledger, {
    ...{ durationMs: RESTART_MS, seed: SEED + 3, label: 'restart' },
    hosts,
  });
  await host.getDaemon().kill();
  await confirm(
    run,
    await run.operator.plan('weights', run.body.changedService, `${host.dataCentre}=1`),
  );
  await host.startDaemon();
  await waitUntil(() => isReady(host), { what: `${host.id} back` });
  const { version } = await fetchStatus(host);
  const newest = run.watch.getHighestVersion();
  addCheck(run, `${host.id} is back at the newest version`, version >= newest, `${version}`);
  const summaries = await load;
  const calls = summaries.reduce((sum, summary) => sum + summary.calls, 0);
  const inTime = summaries.reduce((sum, summary) => sum + summary.inTime, 0);
  const kept = inTime >= FLOOD_TARGET * calls;
  addCheck(run, 'the others serve meanwhile', kept, `${inTime} of ${calls} in time`);
}

async function checkAtEnd(run: DemoRun): Promise<void> {
  const { cluster, ledger, watch } = run;
  const versions = watch.getBreaches();
  addCheck(
    run,
    'no daemon went back or held a route without its service',
    versions.length === 0,
    versions[0] ?? 'none',
  );
  const breaches = await ledger.collectBreaches(cluster.hosts);
  const calls = ledger.getResults().length;
  const name = 'whole answers, refusals that did not run, nothing done twice';
  addCheck(run, name, breaches.length === 0, breaches[0] ?? `${calls} calls`);
}

function addCheck(run: DemoRun, name: string, passed: boolean, seen: string): void {
  run.checks.push({ name, passed, seen });
}

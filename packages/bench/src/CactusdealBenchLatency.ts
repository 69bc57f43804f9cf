import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import {
  createSeededRandom,
  createSilentLog,
  getMonotonicMs,
  pickRandom,
  waitMs,
} from '@cactusdeal/shared';
import { type Caller, createCaller, createTrafficMetrics } from '@cactusdeal/traffic';
import { Registry } from 'prom-client';
import { Pool } from 'undici';
import {
  createLatencySnapshot,
  type LatencyHostSpec,
  toGate,
} from './CactusdealBenchLatencyHost.js';
import { readUsage } from './CactusdealBenchProcess.js';
import { computeDistribution, type Distribution } from './CactusdealBenchStatistics.js';

/** Sizes of a run. */
export interface LatencyOptions {
  readonly seed: number;
  /** Calls a second that each daemon gets in the paired part. */
  readonly rate: number;
  readonly pairedMs: number;
  /** Length of the saturated part for each path; 0 leaves it out. */
  readonly saturatedMs: number;
  /** Calls in flight at saturation. */
  readonly concurrency: number;
}

/** One placement of the hops, in milliseconds unless said otherwise. */
export interface PathResult {
  readonly path: string;
  readonly latency: Distribution;
  /** Differences from the direct call of the same round. */
  readonly added: Distribution;
  readonly p99Difference: number;
  readonly saturated?: SaturatedResult;
}

/** What a path does when it gets as many calls as it can take. */
export interface SaturatedResult {
  readonly callsPerSecond: number;
  readonly latency: Distribution;
  /** Processor time for one call in each daemon of the path, in microseconds. */
  readonly cpuMicrosPerCall: readonly number[];
  /** Calls a second that one core of the busiest daemon carries. */
  readonly callsPerCoreSecond: number;
}

interface LatencyPath {
  readonly name: string;
  readonly daemons: readonly ChildProcess[];
  call(): Promise<void>;
}

const HOST_SCRIPT = fileURLToPath(new URL('./CactusdealBenchLatencyHost.js', import.meta.url));
const WARM_UP_CALLS = 500;
const TARGET = '/records/1';

/** Measures every placement of the hops in one run, each in processes of its own. */
export async function measureLatency(options: LatencyOptions): Promise<PathResult[]> {
  const children: ChildProcess[] = [];
  const pools: { close(): Promise<void> }[] = [];
  try {
    const paths = await startPaths(children, pools, options.concurrency);
    for (const path of paths) {
      for (let call = 0; call < WARM_UP_CALLS; call += 1) await path.call();
    }
    const samples = await runPaired(paths, options);
    const results: PathResult[] = [];
    for (const path of paths) results.push(await reportPath(path, samples, options));
    return results;
  } finally {
    await Promise.all(pools.map((pool) => pool.close()));
    for (const child of children) child.disconnect();
  }
}

async function startPaths(
  children: ChildProcess[],
  pools: { close(): Promise<void> }[],
  connections: number,
): Promise<LatencyPath[]> {
  const start = (spec: LatencyHostSpec): Promise<Started> => startHost(children, spec);
  const upstream = (await start({ memberId: 'upstream', gates: [] })).address;
  const bare = await start({ memberId: 'bare', upstream, gates: [] });
  const local = await start({ memberId: 'local', upstream, gates: [] });
  const library = await start({ memberId: 'library', upstream, gates: [] });
  const gate = await start({ memberId: 'gate', upstream, gates: [] });
  const gates = [toGate('gate', 'worker-gate', gate.address)];
  const entry = await start({ memberId: 'entry', gates });
  const caller = createLatencyCaller(library.address);
  pools.push(caller);
  const plain = (name: string, address: string, daemons: readonly ChildProcess[]): LatencyPath => {
    const pool = new Pool(`http://${address}`, { connections });
    pools.push(pool);
    return { name, daemons, call: () => sendPlainly(pool) };
  };
  return [
    plain('direct', upstream, []),
    plain('one hop, bare relay', bare.address, [bare.child]),
    plain('one hop, local gate', local.address, [local.child]),
    { name: 'one hop, library', daemons: [library.child], call: () => sendByLibrary(caller) },
    plain('two hops', entry.address, [entry.child, gate.child]),
  ];
}

interface Started {
  readonly address: string;
  readonly child: ChildProcess;
}

function startHost(children: ChildProcess[], spec: LatencyHostSpec): Promise<Started> {
  const child = fork(HOST_SCRIPT, { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] });
  children.push(child);
  child.send(spec);
  return new Promise((resolve, reject) => {
    child.once('message', (message) => {
      resolve({ address: (message as { address: string }).address, child });
    });
    child.once('exit', (code) => reject(new RangeError(`host ended with ${code}`)));
  });
}

function createLatencyCaller(address: string): Caller {
  const snapshot = createLatencySnapshot();
  const gates = [toGate('library', 'worker-library', address)];
  return createCaller({
    dataCentre: 'west',
    getSnapshot: () => snapshot,
    directory: { findLocal: () => gates, findRemote: () => [] },
    settings: { idleTimeoutMs: 15_000, retryBudget: 0.1 },
    metrics: createTrafficMetrics(new Registry()),
    log: createSilentLog(),
    clock: getMonotonicMs,
    random: Math.random,
  });
}

async function sendPlainly(pool: Pool): Promise<void> {
  const answer = await pool.request({ method: 'GET', path: TARGET });
  await answer.body.dump();
  if (answer.statusCode !== 200) throw new RangeError(`status ${answer.statusCode}`);
}

async function sendByLibrary(caller: Caller): Promise<void> {
  const result = await caller.call({ method: 'GET', path: TARGET });
  const answer = result.unsafeCoerce();
  answer.body.resume();
  await new Promise((resolve) => {
    answer.body.once('close', resolve);
  });
}

/** Calls each path once a round, in random order, one at a time; gives the latencies by path. */
async function runPaired(
  paths: readonly LatencyPath[],
  options: LatencyOptions,
): Promise<Map<string, number[]>> {
  const random = createSeededRandom(options.seed);
  const samples = new Map(paths.map((path) => [path.name, [] as number[]]));
  const endMs = getMonotonicMs() + options.pairedMs;
  for (let next = getMonotonicMs(); next < endMs; next += 1000 / options.rate) {
    await waitMs(Math.max(0, next - getMonotonicMs()));
    for (const path of pickRandom(paths, paths.length, random)) {
      samples.get(path.name)?.push(await measureCall(path));
    }
  }
  return samples;
}

async function measureCall(path: LatencyPath): Promise<number> {
  const startMs = getMonotonicMs();
  await path.call();
  return getMonotonicMs() - startMs;
}

async function reportPath(
  path: LatencyPath,
  samples: ReadonlyMap<string, readonly number[]>,
  options: LatencyOptions,
): Promise<PathResult> {
  const direct = samples.get('direct') ?? [];
  const own = samples.get(path.name) ?? [];
  const latency = computeDistribution(own);
  const added = computeDistribution(own.map((value, index) => value - (direct[index] ?? 0)));
  const p99Difference = latency.p99 - computeDistribution(direct).p99;
  const result = { path: path.name, latency, added, p99Difference };
  if (options.saturatedMs === 0) return result;
  return { ...result, saturated: await runSaturated(path, options) };
}

async function runSaturated(path: LatencyPath, options: LatencyOptions): Promise<SaturatedResult> {
  const latencies: number[] = [];
  const before = readCpuMs(path);
  const startMs = getMonotonicMs();
  await Promise.all(
    Array.from({ length: options.concurrency }, async () => {
      while (getMonotonicMs() < startMs + options.saturatedMs) {
        latencies.push(await measureCall(path));
      }
    }),
  );
  const seconds = (getMonotonicMs() - startMs) / 1000;
  const spentMs = readCpuMs(path).map((value, index) => value - (before[index] ?? 0));
  const cpuMicrosPerCall = spentMs.map((value) => (value * 1000) / latencies.length);
  return {
    callsPerSecond: latencies.length / seconds,
    latency: computeDistribution(latencies),
    cpuMicrosPerCall,
    callsPerCoreSecond: 1_000_000 / Math.max(...cpuMicrosPerCall, 0),
  };
}

function readCpuMs(path: LatencyPath): number[] {
  return path.daemons.map((child) => readUsage(child.pid as number).cpuMs);
}

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
  buildGate,
  createLatencySnapshot,
  type LatencyHostSpec,
} from './CactusdealBenchLatencyHost.js';
import { readUsage } from './CactusdealBenchProcess.js';
import { computeDistribution, type Distribution } from './CactusdealBenchStatistics.js';

/** Parameters of a run. */
export interface LatencyOptions {
  readonly seed: number;
  /** Rounds per second of the paired part; each round makes one call on each path. */
  readonly rate: number;
  /** Duration of the paired part, in milliseconds. */
  readonly pairedMs: number;
  /** Duration of the saturated part of each path, in milliseconds; 0 skips it. */
  readonly saturatedMs: number;
  /**
   * Calls in flight in the saturated part; also the maximum of connections to a path that is called
   * over HTTP.
   */
  readonly concurrency: number;
}

/** Results of one path, in milliseconds unless stated otherwise. */
export interface PathResult {
  readonly path: string;
  readonly latency: Distribution;
  /** Added latency: difference of each call from the direct call of the same round. */
  readonly added: Distribution;
  /** Difference of the path's p99 from the p99 of the direct path. */
  readonly p99Difference: number;
  readonly saturated?: SaturatedResult;
}

/** Throughput and latency of a path under a closed loop of `concurrency` calls in flight. */
export interface SaturatedResult {
  readonly callsPerSecond: number;
  readonly latency: Distribution;
  /** Processor time per call in each daemon of the path, in microseconds. */
  readonly cpuMicrosPerCall: readonly number[];
  /** Calls per second that one core could serve at the busiest daemon's processor time per call. */
  readonly callsPerCoreSecond: number;
}

/**
 * A way to the upstream: direct, through a relay, a gate or the library, or through two daemons.
 */
interface LatencyPath {
  readonly name: string;
  /** Processes whose processor time is measured. */
  readonly daemons: readonly ChildProcess[];
  call(): Promise<void>;
}

const HOST_SCRIPT = fileURLToPath(new URL('./CactusdealBenchLatencyHost.js', import.meta.url));
const WARM_UP_CALLS = 500;
const REQUEST_PATH = '/records/1';

/** Measures every path in one run; each daemon and the upstream run in separate processes. */
export async function measureLatency(options: LatencyOptions): Promise<PathResult[]> {
  const children: ChildProcess[] = [];
  const pools: { close(): Promise<void> }[] = [];
  try {
    const paths = await startPaths(children, pools, options.concurrency);
    for (const path of paths) {
      for (let call = 0; call < WARM_UP_CALLS; call += 1) await path.call();
    }
    const samples = await measurePaired(paths, options);
    const results: PathResult[] = [];
    for (const path of paths) results.push(await measurePath(path, samples, options));
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
  const start = (spec: LatencyHostSpec): Promise<StartedHost> => startHost(children, spec);
  const upstream = (await start({ memberId: 'upstream', gates: [] })).address;
  const bareRelay = await start({ memberId: 'bare', upstream, gates: [] });
  const local = await start({ memberId: 'local', upstream, gates: [] });
  const library = await start({ memberId: 'library', upstream, gates: [] });
  const gate = await start({ memberId: 'gate', upstream, gates: [] });
  const gates = [buildGate('gate', 'worker-gate', gate.address)];
  const entry = await start({ memberId: 'entry', gates });
  const caller = createLatencyCaller(library.address);
  pools.push(caller);
  const addHttpPath = (
    name: string,
    address: string,
    daemons: readonly ChildProcess[],
  ): LatencyPath => {
    const pool = new Pool(`http://${address}`, { connections });
    pools.push(pool);
    return { name, daemons, call: () => sendByHttp(pool) };
  };
  return [
    addHttpPath('direct', upstream, []),
    addHttpPath('one hop, bare relay', bareRelay.address, [bareRelay.child]),
    addHttpPath('one hop, local gate', local.address, [local.child]),
    { name: 'one hop, library', daemons: [library.child], call: () => sendByLibrary(caller) },
    addHttpPath('two hops', entry.address, [entry.child, gate.child]),
  ];
}

interface StartedHost {
  readonly address: string;
  readonly child: ChildProcess;
}

function startHost(children: ChildProcess[], spec: LatencyHostSpec): Promise<StartedHost> {
  const child = fork(HOST_SCRIPT, { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] });
  children.push(child);
  child.send(spec);
  return new Promise((resolve, reject) => {
    child.once('message', (message) => {
      resolve({ address: (message as { address: string }).address, child });
    });
    child.once('exit', (code) =>
      reject(
        new RangeError(
          `host process "${spec.memberId}" exited with code ${code} before it sent its address`,
        ),
      ),
    );
  });
}

function createLatencyCaller(address: string): Caller {
  const snapshot = createLatencySnapshot();
  const gates = [buildGate('library', 'worker-library', address)];
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

async function sendByHttp(pool: Pool): Promise<void> {
  const answer = await pool.request({ method: 'GET', path: REQUEST_PATH });
  await answer.body.dump();
  if (answer.statusCode !== 200)
    throw new RangeError(`GET ${REQUEST_PATH} answered status ${answer.statusCode}, expected 200`);
}

async function sendByLibrary(caller: Caller): Promise<void> {
  const result = await caller.call({ method: 'GET', path: REQUEST_PATH });
  const answer = result.unsafeCoerce();
  answer.body.resume();
  await new Promise((resolve) => {
    answer.body.once('close', resolve);
  });
}

/**
 * Calls each path once per round, sequentially in random order; returns the latencies by path name.
 */
async function measurePaired(
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

async function measurePath(
  path: LatencyPath,
  samples: ReadonlyMap<string, readonly number[]>,
  options: LatencyOptions,
): Promise<PathResult> {
  const directSamples = samples.get('direct') ?? [];
  const pathSamples = samples.get(path.name) ?? [];
  const latency = computeDistribution(pathSamples);
  const added = computeDistribution(
    pathSamples.map((value, index) => value - (directSamples[index] ?? 0)),
  );
  const p99Difference = latency.p99 - computeDistribution(directSamples).p99;
  const result = { path: path.name, latency, added, p99Difference };
  if (options.saturatedMs === 0) return result;
  return { ...result, saturated: await measureSaturated(path, options) };
}

async function measureSaturated(
  path: LatencyPath,
  options: LatencyOptions,
): Promise<SaturatedResult> {
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

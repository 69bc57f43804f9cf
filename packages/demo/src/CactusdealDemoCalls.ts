import type { Random } from '@cactusdeal/shared';
import {
  type CallResult,
  type Cluster,
  createIdempotencyKey,
  type Host,
  type Ledger,
  type LoadClass,
  type LoadResult,
  runLoad,
} from '@cactusdeal/testing';
import type { DemoBody, DemoCall } from './CactusdealDemoBodyTypes.js';

/** What the callers of one class got. */
export interface ClassSummary {
  readonly name: string;
  readonly rank: string;
  readonly calls: number;
  /** Answered whole within the route's deadline. */
  readonly inTime: number;
  /** Refused as not run. */
  readonly notRun: number;
  /** Neither: late, unknown or without an answer. */
  readonly other: number;
  /** Latency of the answered calls, in milliseconds. */
  readonly p50Ms: number;
  readonly p99Ms: number;
}

export interface LoadOptions {
  readonly durationMs: number;
  readonly seed: number;
  /** Distinguishes the requests of one load from those of others. */
  readonly label: string;
  /** Callers go to the daemons of these hosts. */
  readonly hosts: readonly Host[];
  /** Calls a second by name, in place of the body's own. */
  readonly rates?: Readonly<Record<string, number>>;
}

/** Runs the body's calls for a while and sums up what the callers of each class got. */
export async function runCalls(
  body: DemoBody,
  ledger: Ledger,
  options: LoadOptions,
): Promise<ClassSummary[]> {
  const classes = body.calls.map((call) => buildClass(call, ledger, options));
  const results = await runLoad({ classes, durationMs: options.durationMs, seed: options.seed });
  return body.calls.map((call) => buildSummary(call, results));
}

/** Calls a second of a kind that its service can take, when it takes no other. */
export function computeCapacity(body: DemoBody, callName: string): number {
  const call = body.calls.find(({ name }) => name === callName);
  const service = body.services.find(({ name }) => name === call?.route.service);
  if (service === undefined) return 0;
  return (service.workers * body.slots * 1000) / service.serviceMs;
}

/** Hosts of a cluster that callers may turn to: all whose daemon runs. */
export function listCallHosts(cluster: Cluster): Host[] {
  return cluster.hosts.filter((host) => host.getDaemon().isRunning());
}

function buildClass(call: DemoCall, ledger: Ledger, options: LoadOptions): LoadClass<CallResult> {
  return {
    name: call.name,
    callsPerSecond: options.rates?.[call.name] ?? call.callsPerSecond,
    send: (index, random) => sendOne(call, ledger, options, index, random),
  };
}

function sendOne(
  call: DemoCall,
  ledger: Ledger,
  options: LoadOptions,
  index: number,
  random: Random,
): Promise<CallResult> {
  const host = options.hosts[Math.floor(random() * options.hosts.length)] as Host;
  const { method, pathPrefix, effect } = call.route;
  return ledger.send(host, {
    requestId: `${options.label}-${call.name}-${index}`,
    method: method as 'GET' | 'POST' | 'PUT',
    path: `${pathPrefix}/${index}`,
    answerBytes: call.answerBytes,
    ...(call.bodyBytes === 0 ? {} : { body: Buffer.alloc(call.bodyBytes, index % 256) }),
    ...(effect === 'atMostOnce'
      ? { idempotencyKey: createIdempotencyKey(Date.now(), random) }
      : {}),
  });
}

function buildSummary(call: DemoCall, results: readonly LoadResult<CallResult>[]): ClassSummary {
  const own = results.filter(({ className }) => className === call.name);
  const calls = own.map(({ result }) => result);
  const answered = calls.filter(({ answer }) => answer !== undefined);
  const inTime = answered.filter(({ durationMs }) => durationMs <= call.route.deadlineMs).length;
  const notRun = calls.filter(({ outcome }) => outcome === 'not-run').length;
  const latencies = answered.map(({ durationMs }) => durationMs).sort((a, b) => a - b);
  return {
    name: call.name,
    rank: call.route.rank,
    calls: calls.length,
    inTime,
    notRun,
    other: calls.length - inTime - notRun,
    p50Ms: findQuantile(latencies, 0.5),
    p99Ms: findQuantile(latencies, 0.99),
  };
}

/** Value at the quantile of ascending values, rounded to a tenth; 0 when there are none. */
export function findQuantile(ascending: readonly number[], quantile: number): number {
  const index = Math.min(ascending.length - 1, Math.floor(ascending.length * quantile));
  return Math.round((ascending[index] ?? 0) * 10) / 10;
}

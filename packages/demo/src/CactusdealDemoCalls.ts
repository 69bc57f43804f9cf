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
import type { DemoCall, DemoOrganisation } from './CactusdealDemoOrganisationTypes.js';

/** Results of the calls of one class. */
export interface ClassSummary {
  readonly name: string;
  readonly rank: string;
  readonly calls: number;
  /** Calls answered in full within the route's deadline. */
  readonly inTime: number;
  /** Calls refused as not run: no byte reached the upstream's code. */
  readonly notRun: number;
  /** All other calls: answered late, with an unknown outcome or without an answer. */
  readonly other: number;
  /** Latency of the answered calls, in milliseconds. */
  readonly p50Ms: number;
  readonly p99Ms: number;
}

export interface DemoLoadOptions {
  readonly durationMs: number;
  readonly seed: number;
  /** Prefix of the request ids, which keeps the ids of different loads distinct. */
  readonly requestIdPrefix: string;
  /** Each call goes to the daemon of a random one of these hosts. */
  readonly hosts: readonly Host[];
  /** Calls per second by class; overrides the organisation's own rates. */
  readonly rates?: Readonly<Record<string, number>>;
}

/** Runs the organisation's calls for `durationMs` and summarises the results of each class. */
export async function runCalls(
  organisation: DemoOrganisation,
  ledger: Ledger,
  options: DemoLoadOptions,
): Promise<ClassSummary[]> {
  const classes = organisation.calls.map((call) => buildClass(call, ledger, options));
  const results = await runLoad({ classes, durationMs: options.durationMs, seed: options.seed });
  return organisation.calls.map((call) => buildSummary(call, results));
}

/** Calls per second of this class that its service can serve when it serves no other class. */
export function computeServiceCapacity(organisation: DemoOrganisation, callName: string): number {
  const call = organisation.calls.find(({ name }) => name === callName);
  const service = organisation.services.find(({ name }) => name === call?.route.service);
  if (service === undefined) return 0;
  return (service.workers * organisation.slotsPerWorker * 1000) / service.serviceMs;
}

/** Lists the hosts of a cluster whose daemon is running. */
export function listRunningHosts(cluster: Cluster): Host[] {
  return cluster.hosts.filter((host) => host.getDaemon().isRunning());
}

function buildClass(
  call: DemoCall,
  ledger: Ledger,
  options: DemoLoadOptions,
): LoadClass<CallResult> {
  return {
    name: call.name,
    callsPerSecond: options.rates?.[call.name] ?? call.callsPerSecond,
    send: (index, random) => sendCall(call, ledger, options, index, random),
  };
}

function sendCall(
  call: DemoCall,
  ledger: Ledger,
  options: DemoLoadOptions,
  index: number,
  random: Random,
): Promise<CallResult> {
  const host = options.hosts[Math.floor(random() * options.hosts.length)] as Host;
  const { method, pathPrefix, effect } = call.route;
  return ledger.send(host, {
    requestId: `${options.requestIdPrefix}-${call.name}-${index}`,
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
  const resultsOfClass = results.filter(({ className }) => className === call.name);
  const callResults = resultsOfClass.map(({ result }) => result);
  const answered = callResults.filter(({ responseBody: answer }) => answer !== undefined);
  const inTime = answered.filter(({ durationMs }) => durationMs <= call.route.deadlineMs).length;
  const notRun = callResults.filter(({ outcome }) => outcome === 'not-run').length;
  const latencies = answered.map(({ durationMs }) => durationMs).sort((a, b) => a - b);
  return {
    name: call.name,
    rank: call.route.rank,
    calls: callResults.length,
    inTime,
    notRun,
    other: callResults.length - inTime - notRun,
    p50Ms: findQuantile(latencies, 0.5),
    p99Ms: findQuantile(latencies, 0.99),
  };
}

/** Value at the quantile of values in ascending order, rounded to tenths; 0 when there are none. */
export function findQuantile(ascending: readonly number[], quantile: number): number {
  const index = Math.min(ascending.length - 1, Math.floor(ascending.length * quantile));
  return Math.round((ascending[index] ?? 0) * 10) / 10;
}

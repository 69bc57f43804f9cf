import { getMonotonicMs, waitMs } from '@cactusdeal/shared';
import { buildConfiguration, buildRule } from '../__tests__/CactusdealRelayFixtures.js';
import {
  answerOk,
  type TestHost,
  sendCall,
  startCluster,
} from '../__tests__/CactusdealRelayTestCluster.js';

/** Result of draining one of three upstreams under load. */
export interface DrainReport {
  /** Calls made. */
  readonly calls: number;
  /** Calls that did not end with status 200. */
  readonly cutOff: number;
  /** Calls that were sent to the draining upstream after its heartbeat that said so was handled. */
  readonly newCalls: number;
  /** Calls that were sent to it before and arrived after that heartbeat. */
  readonly onTheirWay: number;
  /** Time from that heartbeat to the last arrival, in milliseconds; 0 if there was none. */
  readonly lastArrivalMs: number;
  /** Calls that the upstream was running when it started to drain. */
  readonly running: number;
}

export interface DrainOptions {
  readonly callsPerSecond: number;
  /** Service time of each call, in milliseconds. */
  readonly serviceMs: number;
  /** Duration of the load before and after the start of the drain, each, in milliseconds. */
  readonly phaseMs: number;
}

const CAPACITY = 100;
const MS_PER_SECOND = 1_000;

/** Sends calls to three upstreams through one entry and drains one of the upstreams meanwhile. */
export async function runDrain(options: DrainOptions): Promise<DrainReport> {
  const { callsPerSecond, serviceMs, phaseMs } = options;
  const configuration = {
    ...buildConfiguration([buildRule({ idempotent: false, timeoutMs: 5_000, targetMs: 5_000 })]),
    services: new Set(['desk', 'records']),
  };
  const cluster = await startCluster(configuration, ['desk', 'records', 'records', 'records'], {});
  const [desk, leaving] = cluster.hosts as [TestHost, TestHost];
  const arrivals: number[] = [];
  let running = 0;
  cluster.hosts.forEach((testHost) => {
    const host = testHost;
    host.sendHeartbeat({ capacity: CAPACITY });
    host.serve = (request, response) => {
      if (host === leaving) {
        arrivals.push(getMonotonicMs());
        running += 1;
        response.once('close', () => {
          running -= 1;
        });
      }
      setTimeout(() => answerOk(request, response), serviceMs);
    };
  });
  const results: Promise<boolean>[] = [];
  const sendCallsWhile = async (isWanted: () => boolean): Promise<void> => {
    while (isWanted()) {
      results.push(sendOne(desk, `c${results.length}`));
      await waitMs(MS_PER_SECOND / callsPerSecond);
    }
  };
  const sendCallsFor = async (durationMs: number): Promise<void> => {
    const startedAtMs = getMonotonicMs();
    await sendCallsWhile(() => getMonotonicMs() - startedAtMs < durationMs);
  };
  await sendCallsFor(phaseMs);
  // At a low rate there are moments without a call; the drain is to begin with calls running.
  await sendCallsWhile(() => running === 0);
  const runningAtDrain = running;
  leaving.sendHeartbeat({ state: 'draining', capacity: CAPACITY });
  const acknowledgedAtMs = getMonotonicMs();
  const sentBefore = await countSent(leaving);
  await sendCallsFor(phaseMs);
  const succeeded = await Promise.all(results);
  const newCalls = (await countSent(leaving)) - sentBefore;
  await cluster.close();
  const lateArrivals = arrivals.filter((atMs) => atMs > acknowledgedAtMs);
  return {
    calls: succeeded.length,
    cutOff: succeeded.filter((isServed) => !isServed).length,
    newCalls,
    onTheirWay: lateArrivals.length - newCalls,
    lastArrivalMs:
      lateArrivals.length === 0 ? 0 : Math.round(Math.max(...lateArrivals) - acknowledgedAtMs),
    running: runningAtDrain,
  };
}

/** Counts the calls that the host's gate has sent to its upstream. */
async function countSent({ relay }: TestHost): Promise<number> {
  const text = await relay.metrics.render();
  return Number(/cactusdeal_upstream_calls_total\{nested="false"\} (\d+)/.exec(text)?.[1] ?? 0);
}

async function sendOne(desk: TestHost, id: string): Promise<boolean> {
  try {
    return (await sendCall(desk, { id, remainingMs: 5_000 })).status === 200;
  } catch {
    // The connection ended without a response, so the call counts as cut off.
    return false;
  }
}

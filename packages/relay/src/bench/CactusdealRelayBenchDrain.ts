import { getMonotonicMs, waitMs } from '@cactusdeal/shared';
import { buildConfiguration, buildRule } from '../__tests__/CactusdealRelayFixtures.js';
import {
  answerPlainly,
  type Host,
  sendCall,
  startWorld,
} from '../__tests__/CactusdealRelayWorld.js';

/** What callers and upstreams saw while one of three upstreams left under load. */
export interface DrainReport {
  readonly calls: number;
  /** Calls that ended with anything but their answer. */
  readonly cutOff: number;
  /** Requests that reached the leaving upstream after its word was acknowledged. */
  readonly newCalls: number;
  /** Time from the acknowledgement to the last of them, in milliseconds; 0 when there was none. */
  readonly lastNewCallMs: number;
  /** Calls that the upstream ran when it said that it leaves. */
  readonly running: number;
}

export interface DrainOptions {
  readonly callsPerSecond: number;
  /** Time of a call in an upstream, in milliseconds. */
  readonly serviceMs: number;
  /** Time of load before and after the word, in milliseconds. */
  readonly halfMs: number;
}

const CAPACITY = 100;
const MS_PER_SECOND = 1_000;

/** Loads three upstreams through an entry and lets one say that it leaves. */
export async function runDrain(options: DrainOptions): Promise<DrainReport> {
  const { callsPerSecond, serviceMs, halfMs } = options;
  const configuration = {
    ...buildConfiguration([buildRule({ idempotent: false, timeoutMs: 5_000, targetMs: 5_000 })]),
    services: new Set(['desk', 'records']),
  };
  const world = await startWorld(configuration, ['desk', 'records', 'records', 'records'], {});
  const [desk, leaving] = world.hosts as [Host, Host];
  const arrivals: number[] = [];
  let running = 0;
  world.hosts.forEach((held) => {
    const host = held;
    host.beat({ capacity: CAPACITY });
    host.serve = (request, response) => {
      if (host === leaving) {
        arrivals.push(getMonotonicMs());
        running += 1;
        response.once('close', () => {
          running -= 1;
        });
      }
      setTimeout(() => answerPlainly(request, response), serviceMs);
    };
  });
  const ends: Promise<boolean>[] = [];
  const sendFor = async (durationMs: number): Promise<void> => {
    const startedAtMs = getMonotonicMs();
    while (getMonotonicMs() - startedAtMs < durationMs) {
      ends.push(sendOne(desk, `c${ends.length}`));
      await waitMs(MS_PER_SECOND / callsPerSecond);
    }
  };
  await sendFor(halfMs);
  const runningAtWord = running;
  leaving.beat({ state: 'draining', capacity: CAPACITY });
  const acknowledgedAtMs = getMonotonicMs();
  await sendFor(halfMs);
  const served = await Promise.all(ends);
  await world.close();
  const late = arrivals.filter((atMs) => atMs > acknowledgedAtMs);
  return {
    calls: served.length,
    cutOff: served.filter((isServed) => !isServed).length,
    newCalls: late.length,
    lastNewCallMs: late.length === 0 ? 0 : Math.round(Math.max(...late) - acknowledgedAtMs),
    running: runningAtWord,
  };
}

async function sendOne(desk: Host, id: string): Promise<boolean> {
  try {
    return (await sendCall(desk, { id, leftMs: 5_000 })).status === 200;
  } catch {
    // A connection that ended without an answer is a call that was cut off.
    return false;
  }
}

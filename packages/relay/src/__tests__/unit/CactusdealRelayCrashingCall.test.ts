import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { getMonotonicMs, waitMs } from '@cactusdeal/shared';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import {
  answerOk,
  type CallOptions,
  NAMES,
  sendCall,
  startCluster,
  type TestCluster,
  type TestHost,
  type UpstreamCrash,
  waitUntil,
} from '../CactusdealRelayTestCluster.js';

const HOSTS = 6;
/** Service beside which the callers of the call that ends upstreams run, where others send one alike. */
const ENDING_CALLER = 'desk';
const OTHER_CALLER = 'office';
const ENDING_PATH = '/ends-its-upstream';
const RUN_MS = 20;
const DOWN_MS = 1_000;
const SPAN_MS = 3_000;
const CALL_INTERVAL_MS = 100;
const HARMLESS_INTERVAL_MS = 40;
/** Upstreams that may get the call before it is known to end them, if their end shows at once. */
const MAX_ARRIVALS = 3;
/** Time after the third arrival from which no upstream gets the call. */
const KNOWN_AFTER_MS = 500;
/** Time in which the last upstream that the call has ended is back. */
const RECOVERY_MS = DOWN_MS + 500;

const configuration = buildConfiguration([
  buildRule({ name: 'once', prefix: '/once/', idempotent: false }),
  buildRule({ maxAttempts: 3 }),
]);

interface Case {
  readonly name: string;
  readonly call?: CallOptions;
  readonly crash?: Partial<UpstreamCrash>;
  /** Number of upstreams that may get the call. */
  readonly upstreams?: number;
  readonly getDataCentre?: (index: number) => string;
  /** Whether callers beside another service send the same call, which upstreams serve. */
  readonly hasAlike?: boolean;
  /** Whether each second upstream that gets the call fails it in place of ending. */
  readonly failsAtTimes?: boolean;
  /** Time until the upstream that runs it ends, in milliseconds; `RUN_MS` without it. */
  readonly runMs?: number;
  /** Time after which its callers leave, in milliseconds; they wait for the answer without it. */
  readonly leavesAfterMs?: number;
  /** Called between two halves of the calls. */
  readonly change?: (cluster: TestCluster) => Promise<void>;
}

const cases: readonly Case[] = [
  { name: 'a read' },
  { name: 'a write with a body', call: { method: 'POST', body: 'x', path: '/once/' } },
  { name: 'a read, by upstreams that listen a moment longer', crash: { listensForMs: 100 } },
  {
    name: 'a write, by upstreams of several data centres',
    call: { method: 'PUT', body: 'x', path: '/once/' },
    getDataCentre: (index) => ['west', 'east', 'north'][index % 3] as string,
  },
  { name: 'a read, like one of another caller that is served', hasAlike: true },
  {
    name: 'a write, like one of another caller that is served',
    call: { method: 'POST', body: 'x', path: '/once/' },
    hasAlike: true,
  },
  {
    name: 'a write that its upstream fails at times',
    call: { method: 'POST', body: 'x', path: '/once/' },
    crash: { downMs: 300 },
    upstreams: 1,
    failsAtTimes: true,
  },
  {
    name: 'a write whose callers leave before the end',
    call: { method: 'POST', body: 'x', path: '/once/' },
    runMs: 3 * RUN_MS,
    leavesAfterMs: 2 * RUN_MS,
  },
  {
    name: 'a read whose callers leave before the end',
    runMs: 3 * RUN_MS,
    leavesAfterMs: 2 * RUN_MS,
  },
  {
    name: 'a write, while daemons restart',
    call: { method: 'PUT', body: 'x', path: '/once/' },
    change: async ({ hosts }) => {
      await Promise.all(hosts.slice(0, HOSTS / 2).map((host) => host.restart()));
      hosts.forEach((host) => host.sendHeartbeat());
    },
  },
];

describe('a call that ends each upstream that runs it', () => {
  cases.forEach((example) => {
    const { name, call, crash, upstreams = HOSTS, getDataCentre, change, hasAlike } = example;
    it(`ends few of them: ${name}`, async (context) => {
      const services = Array.from({ length: upstreams }, () => 'records');
      if (hasAlike === true) services.push(ENDING_CALLER, OTHER_CALLER);
      const cluster = await startCluster(configuration, services, undefined, getDataCentre);
      context.after(() => cluster.close());
      const { listensForMs = 0, downMs = DOWN_MS } = crash ?? {};
      const arrivals = serveEnding(cluster, { listensForMs, downMs }, example);
      const [endingHost, otherHost] = cluster.hosts.slice(upstreams);
      const harmless = sendHarmless(cluster, otherHost, call);
      await waitUntil(() => harmless.countServed() > 0, 'a harmless call is served');
      const endingHosts = endingHost === undefined ? cluster.hosts : [endingHost];
      await sendEnding(endingHosts, example);
      await change?.(cluster);
      await sendEnding(endingHosts, example);
      const served = await harmless.stop();
      const [, , thirdAtMs = Infinity] = arrivals;
      const late = arrivals.filter((atMs) => atMs > thirdAtMs + KNOWN_AFTER_MS);
      assert.equal(late.length, 0, `${late.length} of ${arrivals.length} arrivals are late`);
      if (listensForMs === 0)
        assert.ok(arrivals.length <= MAX_ARRIVALS, `${arrivals.length} upstreams got it`);
      assert.deepEqual(
        served.filter((status) => status !== 200),
        [],
      );
    });
  });
});

/** Ends each upstream that gets the call; the list of the times of its arrivals grows with each one. */
function serveEnding(
  { hosts }: TestCluster,
  crash: UpstreamCrash,
  { hasAlike = false, failsAtTimes = false, runMs = RUN_MS }: Case,
): readonly number[] {
  const arrivals: number[] = [];
  let failures = 0;
  hosts.forEach((testHost) => {
    const host = testHost;
    host.serve = (request, response) => {
      const isAlike = hasAlike && request.headers[NAMES.callerService] !== ENDING_CALLER;
      if (request.url?.endsWith(ENDING_PATH) !== true || isAlike) {
        answerOk(request, response);
        return;
      }
      if (failsAtTimes && failures < arrivals.length) {
        failures += 1;
        answerOk(request, response, 500);
        return;
      }
      arrivals.push(getMonotonicMs());
      setTimeout(() => {
        void host.crash(crash);
      }, runMs);
    };
  });
  return arrivals;
}

async function sendEnding(
  hosts: readonly TestHost[],
  { call: { path = '/', ...call } = {}, leavesAfterMs }: Case,
): Promise<void> {
  const endMs = getMonotonicMs() + SPAN_MS / 2;
  for (let index = 0; getMonotonicMs() < endMs; index += 1) {
    const entry = hosts[index % hosts.length] as TestHost;
    const leaving =
      leavesAfterMs === undefined ? {} : { signal: AbortSignal.timeout(leavesAfterMs) };
    const options = {
      ...call,
      ...leaving,
      id: `e${index}`,
      path: `${path}${ENDING_PATH.slice(1)}`,
    };
    void sendCall(entry, options).catch(() => undefined);
    await waitMs(CALL_INTERVAL_MS);
  }
}

interface HarmlessCalls {
  countServed(): number;
  /** Gives the statuses of the calls that were sent after `RECOVERY_MS`. */
  stop(): Promise<readonly number[]>;
}

/**
 * Sends calls with a path of their own each, or from `alikeHost` the same call as the one that ends
 * upstreams.
 */
function sendHarmless(
  { hosts }: TestCluster,
  alikeHost: TestHost | undefined,
  { path: prefix = '/', ...alike }: CallOptions = {},
): HarmlessCalls {
  let served = 0;
  const startedAtMs = getMonotonicMs();
  const calls: Promise<number>[] = [];
  const timer = setInterval(() => {
    const id = `h${calls.length}`;
    const call = send(id, hosts[calls.length % hosts.length] as TestHost).then(({ status }) => {
      if (status === 200) served += 1;
      return status;
    });
    const isLate = getMonotonicMs() - startedAtMs > RECOVERY_MS;
    calls.push(call.then((status) => (isLate ? status : 200)).catch(() => (isLate ? 0 : 200)));
  }, HARMLESS_INTERVAL_MS);
  return {
    countServed: () => served,
    stop: () => {
      clearInterval(timer);
      return Promise.all(calls);
    },
  };

  async function send(id: string, host: TestHost): ReturnType<typeof sendCall> {
    if (alikeHost === undefined) {
      const call = { id, path: `/harmless-${id}` };
      return sendCall(host, call).catch((error: NodeJS.ErrnoException) => {
        const other = hosts.find(({ isRestarting }) => !isRestarting);
        // Nothing listens between a daemon's stop and its start, so callers go elsewhere.
        if (!host.isRestarting || error.code !== 'ECONNREFUSED' || other === undefined) throw error;
        return sendCall(other, call);
      });
    }
    return sendCall(alikeHost, { ...alike, id, path: `${prefix}${ENDING_PATH.slice(1)}` });
  }
}

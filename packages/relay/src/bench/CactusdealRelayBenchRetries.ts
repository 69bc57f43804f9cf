import { buildConfiguration, buildRule } from '../__tests__/CactusdealRelayFixtures.js';
import {
  type TestHost,
  NAMES,
  sendCall,
  startCluster,
} from '../__tests__/CactusdealRelayTestCluster.js';

/** Result of calls through a chain of services whose last one fails every call. */
export interface RetriesReport {
  /** Number of services in the chain. */
  readonly depth: number;
  /** Calls made to the first service. */
  readonly wanted: number;
  /** Requests that reached the last service's upstreams. */
  readonly sentAtLast: number;
  /** Requests that reached the upstreams of the service that got most. */
  readonly sentAtMost: number;
  /** `sentAtMost` for each call made. */
  readonly amplification: number;
}

const UPSTREAMS_PER_LEVEL = 2;
const BATCH = 20;
const DEADLINE_MS = 10_000;

/**
 * Sends calls through a chain of `depth` services with two upstreams each, and counts the requests
 * at each service.
 */
export async function runRetries(depth: number, wanted: number): Promise<RetriesReport> {
  const levels = Array.from({ length: depth }, (_, level) => level);
  const rules = levels.map((level) =>
    buildRule({
      name: `level-${level}`,
      prefix: `/${level}/`,
      timeoutMs: DEADLINE_MS,
      targetMs: DEADLINE_MS,
      destinations: [{ service: `s${level}`, weight: 1 }],
    }),
  );
  const services = levels.map((level) => `s${level}`);
  const configuration = { ...buildConfiguration(rules), services: new Set(services) };
  const hosts = services.flatMap((service) => Array<string>(UPSTREAMS_PER_LEVEL).fill(service));
  const cluster = await startCluster(configuration, hosts, {});
  const sent = levels.map(() => 0);
  cluster.hosts.forEach((testHost, index) => {
    const host = testHost;
    host.serve = buildServe(host, Math.floor(index / UPSTREAMS_PER_LEVEL), depth, sent);
    host.sendHeartbeat({ capacity: 100 });
  });
  const [head] = cluster.hosts as [TestHost];
  for (let sentCalls = 0; sentCalls < wanted; sentCalls += BATCH) {
    const calls = Array.from({ length: BATCH }, (_, index) =>
      sendCall(head, { id: `c${sentCalls + index}`, path: '/0/', remainingMs: DEADLINE_MS }),
    );
    await Promise.all(calls);
  }
  await cluster.close();
  const sentAtMost = Math.max(...sent);
  const amplification = Math.round((sentAtMost / wanted) * 100) / 100;
  return { depth, wanted, sentAtLast: sent.at(-1) ?? 0, sentAtMost, amplification };
}

/** Builds a handler that calls the next service; the last service fails every call. */
function buildServe(
  host: TestHost,
  level: number,
  depth: number,
  sentCounts: number[],
): TestHost['serve'] {
  const sent = sentCounts;
  return (request, response) => {
    sent[level] = (sent[level] ?? 0) + 1;
    const id = String(request.headers[NAMES.callId]);
    const end = (status: number): void => {
      response.writeHead(status, { [NAMES.signature]: 'yes', [NAMES.callId]: id }).end();
    };
    if (level + 1 === depth) {
      end(500);
      return;
    }
    const path = `/${level + 1}/`;
    void sendCall(host, { id: `${id}.1`, path, remainingMs: DEADLINE_MS }).then(
      ({ status }) => end(status === 200 ? 200 : 500),
      () => end(500),
    );
  };
}

import { buildConfiguration, buildRule } from '../__tests__/CactusdealRelayFixtures.js';
import { type Host, NAMES, sendCall, startWorld } from '../__tests__/CactusdealRelayWorld.js';

/** What a chain of services did whose last one fails every call. */
export interface RetriesReport {
  readonly depth: number;
  /** Calls made at the head of the chain. */
  readonly wanted: number;
  /** Requests that reached the last service's upstreams. */
  readonly sentAtLast: number;
  /** Requests that reached the upstreams of the level that got most. */
  readonly sentAtMost: number;
  /** The larger of the two for each call wanted. */
  readonly amplification: number;
}

const UPSTREAMS_PER_LEVEL = 2;
const BATCH = 20;
const DEADLINE_MS = 10_000;

/** Calls through `depth` services, each of which calls the next, with two upstreams each. */
export async function runRetries(depth: number, wanted: number): Promise<RetriesReport> {
  const levels = Array.from({ length: depth }, (_, level) => level);
  const rules = levels.map((level) =>
    buildRule({
      name: `level-${level}`,
      prefix: `/${level}/`,
      timeoutMs: DEADLINE_MS,
      targetMs: DEADLINE_MS,
      parts: [{ service: `s${level}`, weight: 1 }],
    }),
  );
  const services = levels.map((level) => `s${level}`);
  const configuration = { ...buildConfiguration(rules), services: new Set(services) };
  const hosts = services.flatMap((service) => Array<string>(UPSTREAMS_PER_LEVEL).fill(service));
  const world = await startWorld(configuration, hosts, {});
  const sent = levels.map(() => 0);
  world.hosts.forEach((held, index) => {
    const host = held;
    host.serve = buildServe(host, Math.floor(index / UPSTREAMS_PER_LEVEL), depth, sent);
    host.beat({ capacity: 100 });
  });
  const [head] = world.hosts as [Host];
  for (let made = 0; made < wanted; made += BATCH) {
    const calls = Array.from({ length: BATCH }, (_, index) =>
      sendCall(head, { id: `c${made + index}`, path: '/0/', leftMs: DEADLINE_MS }),
    );
    await Promise.all(calls);
  }
  await world.close();
  const sentAtMost = Math.max(...sent);
  const amplification = Math.round((sentAtMost / wanted) * 100) / 100;
  return { depth, wanted, sentAtLast: sent.at(-1) ?? 0, sentAtMost, amplification };
}

function buildServe(host: Host, level: number, depth: number, held: number[]): Host['serve'] {
  const sent = held;
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
    void sendCall(host, { id: `${id}.1`, path, leftMs: DEADLINE_MS }).then(
      ({ status }) => end(status === 200 ? 200 : 500),
      () => end(500),
    );
  };
}

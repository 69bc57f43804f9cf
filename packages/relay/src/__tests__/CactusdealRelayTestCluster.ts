import {
  type Agent,
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from 'node:http';
import { type AddressInfo, createServer as createNetServer } from 'node:net';
import { Left, Right } from 'purify-ts';
import { createChunkPacer, parseAddress, waitMs } from '@cactusdeal/shared';
import {
  type ConfigurationReading,
  type ConfigurationSource,
  type MemberRegistry,
  PlatformFaultKind,
  type RolloutStatus,
  type RolloutStore,
} from '../CactusdealRelayPorts.js';
import type { RolloutOrder } from '../CactusdealRelayRolloutTypes.js';
import { NO_ERA } from '../CactusdealRelayStoreEra.js';
import type { HeaderNames, Member, RelayConfiguration } from '../CactusdealRelayTypes.js';
import { type Relay, type RelayOptions, startRelay } from '../CactusdealRelayWiring.js';

export const NAMES: HeaderNames = {
  callId: 'x-call',
  deadline: 'x-left',
  upstreamId: 'x-life',
  callerService: 'x-from',
  signature: 'x-signed',
  notRun: 'x-not-run',
  limit: 'x-limit',
  leaving: 'x-leaving',
  organisation: 'x-organisation',
  parseParentId: (callId) => {
    const end = callId.lastIndexOf('.');
    return end > 0 ? callId.slice(0, end) : undefined;
  },
};

/** Grace time of a host's daemon to stop, in milliseconds. */
export const GRACE_MS = 400;

/** A budget large enough for tests of single calls not to exhaust it. */
const MANY_RETRIES = { ratio: 1, rerunRatio: 1, reserve: 100, refillMs: 1_000 } as const;

const WAIT_TIMEOUT_MS = 5_000;
const POLL_MS = 5;

/** Waits until the condition holds; throws after `WAIT_TIMEOUT_MS`. */
export async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  const endMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > endMs)
      throw new Error(`not within ${WAIT_TIMEOUT_MS} ms: ${description}`);
    await waitMs(POLL_MS);
  }
}

/** Handler of the requests to a stand-in upstream. */
export type RequestHandler = (request_: IncomingMessage, response: ServerResponse) => void;

interface HeartbeatChanges {
  readonly state?: 'ready' | 'draining';
  readonly capacity?: number;
  readonly startedAtMs?: number;
  readonly softwareVersion?: string;
}

/** A stand-in upstream with its daemon. */
export interface TestHost {
  /** The running daemon. */
  relay: Relay;
  readonly entryAddress: string;
  /** Address of the daemon's link listener. */
  readonly linkAddress: string;
  readonly id: string;
  /** Requests that reached the upstream. */
  readonly requests: IncomingMessage[];
  /** Whether the daemon stops or starts, so that its entry may refuse connections. */
  isRestarting: boolean;
  /** Whether the cluster is closed, so that nothing starts again. */
  isClosed: boolean;
  serve: RequestHandler;
  /** Stops the daemon and starts it anew at the same addresses; resolves when it is linked again. */
  restart(): Promise<void>;
  /** Passes a heartbeat of the upstream to its daemon. */
  sendHeartbeat(changes?: HeartbeatChanges): void;
  /** Ends the upstream without notice; it starts again as a new instance after a while. */
  crash(crash: UpstreamCrash): Promise<void>;
}

/** How an upstream ends without notice. Times in milliseconds from its end. */
export interface UpstreamCrash {
  /** Time until the listening socket closes, which may be later than the connections. */
  readonly listensForMs: number;
  /** Time until the upstream has started again. */
  readonly downMs: number;
}

/**
 * Hosts that share one configuration source and one registry, both in memory.
 */
export interface TestCluster {
  readonly hosts: readonly TestHost[];
  /** Makes a new configuration available to all daemons. */
  publish(configuration: RelayConfiguration): void;
  /** Orders a rollout. */
  order(order: RolloutOrder): void;
  /** Status of each rollout, by service. */
  readonly statuses: ReadonlyMap<string, RolloutStatus>;
  /** Called when a daemon removes its registration. */
  observeRemoval: () => void;
  close(): Promise<void>;
}

/**
 * Starts one host for each element of `services`, in one data centre unless `getDataCentre` names
 * others by the host's index; resolves when all are ready and linked to one another.
 */
export async function startCluster(
  configuration: RelayConfiguration,
  services: readonly string[],
  retryBudget: NonNullable<RelayOptions['retryBudget']> = MANY_RETRIES,
  getDataCentre: (index: number) => string = () => 'west',
  uplinkMbps?: number,
): Promise<TestCluster> {
  const members: Member[] = [];
  const published = [configuration];
  const orders: RolloutOrder[] = [];
  const statuses = new Map<string, RolloutStatus>();
  const source = createSource(published, orders);
  const rolloutStore = createRolloutStore(orders, statuses);
  const registry = createRegistry(members, () => cluster.observeRemoval());
  const servers: Server[] = [];
  const hosts = await Promise.all(
    services.map((service, index) =>
      startHost(
        { id: `d${index}`, dataCentre: getDataCentre(index), service },
        index,
        { source, registry, rolloutStore, retryBudget, uplinkMbps },
        servers,
      ),
    ),
  );
  hosts.forEach((host) => host.sendHeartbeat());
  await waitUntil(() => hosts.every(({ relay }) => relay.isReady()), 'ready');
  await Promise.all(hosts.map((host) => waitForLinks(host, hosts)));
  const cluster: TestCluster = {
    hosts,
    observeRemoval: () => {},
    publish: (next) => published.push(next),
    order: (order) => orders.push(order),
    statuses,
    close: async () => {
      hosts.forEach((testHost) => {
        const host = testHost;
        host.isClosed = true;
      });
      await Promise.all(hosts.map(({ relay }) => relay.close()));
      servers.forEach((server) => {
        server.closeAllConnections();
        server.close();
      });
    },
  };
  return cluster;
}

async function waitForLinks(host: TestHost, hosts: readonly TestHost[]): Promise<void> {
  let metricsText = '';
  while (!metricsText.includes(`cactusdeal_links ${hosts.length - 1}`)) {
    metricsText = await host.relay.metrics.render();
    await waitMs(POLL_MS);
  }
}

async function startHost(
  self: Omit<Member, 'address'>,
  index: number,
  parts: Pick<RelayOptions, 'source' | 'registry' | 'rolloutStore' | 'retryBudget' | 'uplinkMbps'>,
  servers: Server[],
): Promise<TestHost> {
  const { id, service } = self;
  const requests: IncomingMessage[] = [];
  const startServer = (): Server => {
    const started = createServer((request_, response) => {
      requests.push(request_);
      host.serve(request_, response);
    });
    servers.push(started);
    return started;
  };
  let server = startServer();
  const upstreamAddress = await listen(server);
  const [entryAddress = '', linkAddress = ''] = await Promise.all([findAddress(), findAddress()]);
  const start = (): Promise<Relay> =>
    startRelay({
      self: { ...self, address: linkAddress },
      entryAddress,
      upstreamAddress,
      heartbeatMs: 60_000,
      graceMs: GRACE_MS,
      names: NAMES,
      pacer: createChunkPacer(),
      ...parts,
      countLostLines: () => 0,
    });
  let sequence = 0;
  let startedAtMs = 1;
  let isDown = false;
  const host: TestHost = {
    relay: await start(),
    entryAddress,
    linkAddress,
    id,
    requests,
    isRestarting: false,
    isClosed: false,
    serve: answerOk,
    restart: async () => {
      host.isRestarting = true;
      await host.relay.close();
      host.relay = await start();
      host.isRestarting = false;
      await waitUntil(() => host.relay.isReady(), `${id} is ready again`);
    },
    sendHeartbeat: (changes = {}) => {
      sequence += 1;
      host.relay.upstreamTracker.receive({
        id: `u${index}`,
        service,
        address: upstreamAddress,
        capacity: 2,
        state: 'ready',
        startedAtMs,
        sequence,
        ...changes,
      });
    },
    crash: async ({ listensForMs, downMs }) => {
      if (isDown) return;
      isDown = true;
      const ended = server;
      ended.closeAllConnections();
      await waitMs(listensForMs);
      ended.close();
      ended.closeAllConnections();
      await waitMs(downMs - listensForMs);
      if (host.isClosed) return;
      server = startServer();
      await listen(server, upstreamAddress);
      isDown = false;
      startedAtMs += 1;
      host.sendHeartbeat();
    },
  };
  return host;
}

/** Answers as the upstream itself does, with success by default. */
export function answerOk(request_: IncomingMessage, response: ServerResponse, status = 200): void {
  response.writeHead(status, {
    [NAMES.signature]: 'yes',
    [NAMES.callId]: String(request_.headers[NAMES.callId]),
  });
  response.end(`life ${String(request_.headers[NAMES.upstreamId])}`);
}

/** Part of a revision that counts orders; the rest counts configurations. */
const ORDER_REVISIONS = 1_000;

function createSource(
  published: readonly RelayConfiguration[],
  orders: readonly RolloutOrder[],
): ConfigurationSource {
  const list = (after: number): string[] =>
    published.slice(after).map((_, index) => String(after + index));
  const getRevision = (): number => published.length + orders.length * ORDER_REVISIONS;
  const readAfter = (before: number): ConfigurationReading => {
    const revision = getRevision();
    const changed = orders.slice(Math.floor(before / ORDER_REVISIONS));
    const reading = { sources: list(before % ORDER_REVISIONS), revision };
    if (changed.length === 0) return reading;
    const point = { era: 0, revision };
    return { ...reading, orders: { orders: changed, point, isComplete: before === 0 } };
  };
  return {
    read: () => Promise.resolve(Right(readAfter(0))),
    watch: async (revision, limitMs, signal) => {
      const endMs = performance.now() + limitMs;
      const isWaiting = (): boolean => getRevision() <= revision && !signal.aborted;
      while (isWaiting() && performance.now() < endMs) await waitMs(POLL_MS);
      return Right(readAfter(revision));
    },
    decode: (text) => {
      const found = published[Number(text)];
      return found === undefined
        ? Left({ kind: 'ConfigurationInvalid', message: text })
        : Right({ ...found, source: text });
    },
  };
}

function createRolloutStore(
  orders: readonly RolloutOrder[],
  statuses: Map<string, RolloutStatus>,
): RolloutStore {
  const revisions = new Map<string, number>();
  return {
    readStatus: (service) =>
      Promise.resolve(
        Right({
          order: orders.findLast((order) => order.service === service),
          point: { era: 0, revision: orders.length * ORDER_REVISIONS },
          status: statuses.get(service),
          revision: revisions.get(service) ?? 0,
        }),
      ),
    writeStatus: (service, status, revision) => {
      if (revision !== (revisions.get(service) ?? 0))
        return Promise.resolve(Left({ kind: PlatformFaultKind.NotDone, message: 'status 412' }));
      revisions.set(service, revision + 1);
      statuses.set(service, status);
      return Promise.resolve(Right(undefined));
    },
  };
}

function createRegistry(members: Member[], observeRemoval: () => void): MemberRegistry {
  return {
    register: (member) => {
      members.push(member);
      return Promise.resolve(Right(NO_ERA));
    },
    remove: () => {
      observeRemoval();
      return new Promise(() => {});
    },
    list: () => Promise.resolve(Right({ members: [...members], era: NO_ERA })),
  };
}

/** Listens on the address, or on a free one; resolves to it. */
function listen(server: Server, address = '127.0.0.1:0'): Promise<string> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    server.listen(port, host, () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

/** Finds an address on which nothing listens. */
export function findAddress(): Promise<string> {
  return new Promise((resolve) => {
    const server = createNetServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}

/** Response that a caller received. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Port of the caller's side of the connection. */
  readonly localPort: number | undefined;
}

export interface CallOptions {
  readonly id?: string;
  readonly method?: string;
  readonly path?: string;
  readonly host?: string;
  readonly remainingMs?: number;
  readonly body?: string;
  /** API key. */
  readonly key?: string;
  /** Further header fields. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** By default each call has a connection of its own. */
  readonly agent?: Agent;
}

/** Sends one call to a host's entry; rejects if the connection ends without a response. */
export function sendCall(
  { entryAddress }: Pick<TestHost, 'entryAddress'>,
  options: CallOptions = {},
): Promise<CallerAnswer> {
  const {
    id = 'c1',
    method = 'GET',
    path = '/',
    host = 'a.example',
    remainingMs = 2_000,
  } = options;
  const { body, key, signal, headers: furtherHeaders, agent = false } = options;
  return new Promise((resolve, reject) => {
    const outgoing = request(
      `http://${entryAddress}${path}`,
      {
        method,
        agent,
        headers: {
          host,
          [NAMES.callId]: id,
          [NAMES.deadline]: String(remainingMs),
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
          ...furtherHeaders,
        },
        ...(signal === undefined ? {} : { signal }),
      },
      (response) => {
        const chunks: Buffer[] = [];
        const { localPort } = response.socket;
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          const { statusCode = 0, headers } = response;
          const text = Buffer.concat(chunks).toString();
          resolve({ status: statusCode, headers, body: text, localPort });
        });
        response.on('error', reject);
      },
    );
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

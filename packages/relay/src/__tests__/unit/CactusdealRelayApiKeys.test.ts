import assert from 'node:assert/strict';
import { Agent, type IncomingMessage } from 'node:http';
import { after, before, beforeEach, describe, it } from 'node:test';
import {
  createByteBudget,
  createChunkPacer,
  createDeferredTasks,
  createSilentLog,
  getMonotonicMs,
} from '@cactusdeal/shared';
import { type Entry, startEntry } from '../../CactusdealRelayEntry.js';
import { buildRouteTable, type RouteTable } from '../../CactusdealRelayRoutes.js';
import type { RelayConfiguration } from '../../CactusdealRelayTypes.js';
import { buildConfiguration, buildOrganisation, buildRule } from '../CactusdealRelayFixtures.js';
import {
  answerOk,
  type CallOptions,
  findAddress,
  NAMES,
  sendCall,
  startCluster,
  type TestCluster,
  type TestHost,
  waitUntil,
} from '../CactusdealRelayTestCluster.js';

const ROUTES = [
  buildRule({ name: 'restricted' }),
  buildRule({ name: 'open', prefix: '/open/', isPublic: true }),
];

function buildVersion(version: number, southKeys: readonly string[] = ['s1']): RelayConfiguration {
  return {
    ...buildConfiguration(ROUTES, version),
    services: new Set(['records', 'front']),
    organisations: [
      buildOrganisation({ name: 'north', keys: ['n1', 'n2'] }),
      buildOrganisation({ name: 'south', keys: southKeys }),
    ],
  };
}

const withKey = (key: string): CallOptions => ({ headers: { authorization: `Bearer ${key}` } });

interface Case {
  readonly name: string;
  readonly call: CallOptions;
  readonly status: number;
  /** Organisation that the upstream is told; undefined for none. */
  readonly organisation?: string;
}

const cases: readonly Case[] = [
  { name: 'a call with a key', call: withKey('n2'), status: 200, organisation: 'north' },
  { name: 'a call without a key', call: {}, status: 401 },
  { name: 'a call with an unknown key', call: withKey('x'), status: 401 },
  { name: 'a body without a key', call: { method: 'POST', body: 'b'.repeat(90_000) }, status: 401 },
  { name: 'a public route without a key', call: { path: '/open/a' }, status: 200 },
  {
    name: 'a public route with an unknown key',
    call: { path: '/open/a', ...withKey('x') },
    status: 401,
  },
  {
    name: 'a public route with a key',
    call: { path: '/open/a', ...withKey('s1') },
    status: 200,
    organisation: 'south',
  },
  {
    name: 'a caller that names an organisation itself',
    call: { path: '/open/a', headers: { 'X-Organisation': 'north' } },
    status: 200,
  },
  {
    name: 'a caller that names another organisation',
    call: { headers: { authorization: 'bearer s1', 'X-Organisation': 'north' } },
    status: 200,
    organisation: 'south',
  },
];

describe('a configuration with organisations', () => {
  let cluster: TestCluster;
  /** Has no upstream of the routes' service, so that its calls pass a link. */
  let front: TestHost;
  let back: TestHost;

  before(async () => {
    cluster = await startCluster(buildVersion(1), ['front', 'records']);
    [front, back] = cluster.hosts as [TestHost, TestHost];
  });
  after(() => cluster.close());
  beforeEach(() => {
    back.requests.splice(0);
    back.serve = answerOk;
  });

  cases.forEach(({ name, call, status, organisation }) => {
    it(`gives ${status} to ${name}`, async () => {
      const answer = await sendCall(front, call);
      assert.equal(answer.status, status);
      assert.equal(back.requests.length, status === 200 ? 1 : 0);
      if (status === 200) assertFields(back.requests[0] as IncomingMessage, organisation);
      else assert.deepEqual([answer.body, answer.headers['www-authenticate']], ['', 'Bearer']);
    });
  });

  it('keeps the connection open after 401, also if the call had a body', async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const body = 'b'.repeat(90_000);
    const first = await sendCall(front, { method: 'POST', body, agent });
    const second = await sendCall(front, { ...withKey('n1'), method: 'POST', body, agent });
    const ports = [first, second].map(({ localPort }) => localPort);
    agent.destroy();
    assert.deepEqual([first.status, second.status], [401, 200]);
    assert.equal(ports[0], ports[1]);
  });

  it('serves a nested call, which carries no key, without an organisation', async () => {
    back.serve = (request, response) => {
      const id = String(request.headers[NAMES.callId]);
      if (id !== 'c1') answerOk(request, response);
      else
        void sendCall(back, { id: 'c1.1', path: '/open/nested' }).then(({ status }) =>
          answerOk(request, response, status),
        );
    };
    assert.equal((await sendCall(front, withKey('n1'))).status, 200);
    const [outer, nested] = back.requests as [IncomingMessage, IncomingMessage];
    assertFields(outer, 'north');
    assertFields(nested, undefined);
  });

  it('counts calls that got 401', async () => {
    const earlier = await readCounter(front, 'cactusdeal_unauthorised_calls_total');
    await sendCall(front, withKey('x'));
    assert.equal(await readCounter(front, 'cactusdeal_unauthorised_calls_total'), earlier + 1);
  });

  it('refuses a removed key on an open connection, and ends the call in progress', async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let finish = (): void => {};
    back.serve = (request, response) => {
      finish = () => answerOk(request, response);
    };
    const inProgress = sendCall(front, { ...withKey('s1'), agent });
    await waitUntil(() => back.requests.length === 1, 'the call runs');
    cluster.publish(buildVersion(2, []));
    await waitForVersion(cluster, 2);
    back.serve = answerOk;
    finish();
    assert.equal((await inProgress).status, 200);
    assert.equal((await sendCall(front, { ...withKey('s1'), agent })).status, 401);
    assert.equal((await sendCall(front, { ...withKey('n1'), agent })).status, 200);
    agent.destroy();
  });

  it('keeps the version in force when the next one cannot be read, and applies one with warnings', async () => {
    cluster.publish(undefined as never);
    cluster.publish({ ...buildVersion(4, ['s2']), warnings: ['one word is unknown'] });
    await waitForVersion(cluster, 4);
    const rejections = await Promise.all(
      cluster.hosts.map((host) => readCounter(host, 'cactusdeal_version_rejections_total')),
    );
    assert.ok(Math.max(...rejections) >= 1);
    assert.equal(await readCounter(front, 'cactusdeal_version_warnings_total'), 1);
    assert.equal((await sendCall(front, withKey('s2'))).status, 200);
  });
});

function assertFields({ headers }: IncomingMessage, organisation: string | undefined): void {
  assert.equal(headers.authorization, undefined);
  assert.equal(headers[NAMES.organisation], organisation);
}

async function readCounter({ relay }: TestHost, name: string): Promise<number> {
  const line = (await relay.metrics.render()).split('\n').find((text) => text.startsWith(name));
  return Number(line?.split(' ')[1] ?? 0);
}

async function waitForVersion({ hosts }: TestCluster, version: number): Promise<void> {
  await waitUntil(
    () => hosts.every(({ relay }) => relay.getConfiguration()?.version === version),
    `version ${version} is in force`,
  );
}

describe('a daemon without a configuration', () => {
  let entry: Entry;
  let entryAddress: string;
  let routes: RouteTable | undefined;

  before(async () => {
    entryAddress = await findAddress();
    entry = await startEntry({
      address: entryAddress,
      callerService: 'records',
      names: NAMES,
      getRoutes: () => routes,
      router: { route: () => assert.fail('nothing is routed') },
      deferredTasks: createDeferredTasks(),
      clock: getMonotonicMs,
      pacer: createChunkPacer(),
      log: createSilentLog(),
      isRunning: () => false,
      recordNestedFailure: () => {},
      recordCall: () => {},
      recordCancelled: () => {},
      recordUnauthorised: () => {},
      quota: {
        admit: () => ({ isAdmitted: true, retryAfterMs: 0 }),
        release: () => {},
        close: () => {},
      },
      recordOverQuota: () => {},
      callerBytes: createByteBudget(1_000_000),
      recordEviction: () => {},
    });
  });
  after(() => entry.close());

  it('gives 503 and never 401', async () => {
    const host = { entryAddress };
    assert.equal((await sendCall(host)).status, 503);
    assert.equal((await sendCall(host, withKey('x'))).status, 503);
    routes = buildRouteTable(buildVersion(1));
    assert.equal((await sendCall(host, withKey('x'))).status, 401);
  });
});

import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import {
  answerOk,
  sendCall,
  type CallOptions,
  type TestHost,
  NAMES,
  type RequestHandler,
  startCluster,
  waitUntil,
  type TestCluster,
} from '../CactusdealRelayWorld.js';

const TIMEOUT_MS = 400;

const routes = [
  buildRule({ name: 'repeatable', prefix: '/', timeoutMs: TIMEOUT_MS }),
  buildRule({ name: 'once', prefix: '/once/', idempotent: false, timeoutMs: TIMEOUT_MS }),
];
const configuration = { ...buildConfiguration(routes), services: new Set(['records', 'desk']) };

const answerNotRun: RequestHandler = (_, response) => {
  response.writeHead(503, { [NAMES.notRun]: '1' }).end();
};
const answerFailed: RequestHandler = (_, response) => {
  response.writeHead(500, { [NAMES.signature]: 'yes' }).end('failed');
};
const answerUnavailable: RequestHandler = (_, response) => {
  response.writeHead(503, { [NAMES.signature]: 'yes' }).end('ran');
};
const answerUnsigned: RequestHandler = (_, response) => {
  response.writeHead(200).end('unsigned');
};
const answerOther: RequestHandler = (_, response) => {
  response.writeHead(200, { [NAMES.signature]: 'yes', [NAMES.callId]: 'c0' }).end('other');
};
const breakOff: RequestHandler = (request) => request.socket.destroy();
const stayAway: RequestHandler = () => {};

interface Case {
  readonly name: string;
  /** What the two upstreams of the service do, in the order in which they are reached. */
  readonly upstreams: readonly RequestHandler[];
  readonly call: CallOptions;
  readonly status: number;
  readonly runs: number;
}

const cases: readonly Case[] = [
  { name: 'a sound upstream', upstreams: [answerOk], call: {}, status: 200, runs: 1 },
  { name: 'no route', upstreams: [], call: { host: 'b.example' }, status: 404, runs: 0 },
  {
    name: 'an upstream that turns it away',
    upstreams: [answerNotRun, answerOk],
    call: { path: '/once/' },
    status: 200,
    runs: 2,
  },
  {
    name: 'two upstreams that turn it away',
    upstreams: [answerNotRun, answerNotRun],
    call: { path: '/once/' },
    status: 503,
    runs: 2,
  },
  {
    name: 'a break while an idempotent call runs',
    upstreams: [breakOff, answerOk],
    call: {},
    status: 200,
    runs: 2,
  },
  {
    name: 'a break while a call runs that may run once',
    upstreams: [breakOff, answerOk],
    call: { path: '/once/' },
    status: 502,
    runs: 1,
  },
  {
    name: 'a failure of an idempotent call',
    upstreams: [answerFailed, answerOk],
    call: {},
    status: 200,
    runs: 2,
  },
  {
    name: 'a failure of a call that may run once',
    upstreams: [answerFailed, answerOk],
    call: { path: '/once/' },
    status: 500,
    runs: 1,
  },
  {
    name: 'an upstream that ran it and says it is unavailable',
    upstreams: [answerUnavailable],
    call: { path: '/once/' },
    status: 502,
    runs: 1,
  },
  {
    name: 'a success that the upstream did not sign',
    upstreams: [answerUnsigned],
    call: { path: '/once/' },
    status: 502,
    runs: 1,
  },
  {
    name: 'the answer to another call',
    upstreams: [answerOther],
    call: { path: '/once/' },
    status: 502,
    runs: 1,
  },
  {
    name: 'an upstream that does not answer within the time of the route',
    upstreams: [stayAway],
    call: { path: '/once/' },
    status: 504,
    runs: 1,
  },
  {
    name: 'an upstream that does not answer within the time of the caller',
    upstreams: [stayAway],
    call: { path: '/once/', remainingMs: 100 },
    status: 504,
    runs: 1,
  },
];

describe('path of a call', () => {
  let cluster: TestCluster;
  let caller: TestHost;
  let upstreams: readonly TestHost[];

  before(async () => {
    cluster = await startCluster(configuration, ['desk', 'records', 'records']);
    [caller, ...upstreams] = cluster.hosts as [TestHost, ...TestHost[]];
  });
  after(() => cluster.close());
  beforeEach(() => {
    upstreams.forEach((host) => host.requests.splice(0));
  });

  cases.forEach(({ name, upstreams: behaviours, call: options, status, runs }) => {
    it(`ends with ${status} after ${name}`, async () => {
      let reached = 0;
      upstreams.forEach((held) => {
        const host = held;
        host.serve = (request, response) => {
          const behave = behaviours[reached] ?? answerOk;
          reached += 1;
          behave(request, response);
        };
      });
      const answer = await sendCall(caller, options);
      assert.equal(answer.status, status);
      assert.equal(reached, runs);
      assert.equal(answer.headers[NAMES.callId], 'c1');
    });
  });

  it('names to the upstream its life, the service of the caller and the time that is left', async () => {
    upstreams.forEach((held) => {
      const host = held;
      host.serve = answerOk;
    });
    await sendCall(caller, { remainingMs: 300 });
    const [request] = upstreams.flatMap((host) => host.requests);
    assert.equal(request?.headers[NAMES.callerService], 'desk');
    assert.match(String(request?.headers[NAMES.upstreamId]), /^u[12]$/);
    const remainingMs = Number(request?.headers[NAMES.deadline]);
    assert.ok(remainingMs > 0 && remainingMs <= 300, String(remainingMs));
  });

  it('forwards the body as it came', async () => {
    const bodies: string[] = [];
    upstreams.forEach((held) => {
      const host = held;
      host.serve = (request, response) => {
        request.on('data', (chunk: Buffer) => bodies.push(chunk.toString()));
        request.on('end', () => answerOk(request, response));
      };
    });
    const body = 'x'.repeat(5_000);
    await sendCall(caller, { method: 'PUT', path: '/once/', body });
    assert.equal(bodies.join(''), body);
  });

  it('closes the connection to the upstream when the caller leaves', async () => {
    let isClosed = false;
    const leave = new AbortController();
    upstreams.forEach((held) => {
      const host = held;
      host.serve = (request) => {
        request.socket.on('close', () => {
          isClosed = true;
        });
        leave.abort();
      };
    });
    await assert.rejects(sendCall(caller, { signal: leave.signal }));
    await waitUntil(() => isClosed, 'the upstream is told');
  });

  it('sends nothing to an upstream that is draining', async () => {
    const [first, second] = upstreams as [TestHost, TestHost];
    upstreams.forEach((held) => {
      const host = held;
      host.serve = answerOk;
    });
    first.sendHeartbeat({ state: 'draining' });
    const answers = await Promise.all([1, 2, 3, 4].map(() => sendCall(caller, { path: '/once/' })));
    assert.deepEqual(
      answers.map(({ status }) => status).filter((status) => status !== 200 && status !== 503),
      [],
    );
    assert.equal(first.requests.length, 0);
    assert.ok(second.requests.length > 0);
  });

  it('takes a new version into force and never an older one', async () => {
    const moved = { ...buildConfiguration([buildRule({ host: 'c.example' })], 3) };
    cluster.publish({ ...moved, services: configuration.services });
    await waitUntil(() => caller.relay.getConfiguration()?.version === 3, 'version 3');
    cluster.publish({ ...configuration, version: 2 });
    cluster.publish({ ...moved, services: configuration.services, version: 4 });
    await waitUntil(() => caller.relay.getConfiguration()?.version === 4, 'version 4');
    assert.equal((await sendCall(caller, {})).status, 404);
    assert.equal((await sendCall(caller, { host: 'c.example' })).status, 200);
  });
});

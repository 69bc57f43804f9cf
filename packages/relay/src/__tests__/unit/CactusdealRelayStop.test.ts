import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import {
  type CallerAnswer,
  GRACE_MS,
  NAMES,
  type TestHost,
  sendCall,
  startCluster,
  waitUntil,
} from '../CactusdealRelayTestCluster.js';

/** Longer than the rest of a stop once the revocation of the lease has begun. */
const SERVICE_MS = 40;

const configuration = buildConfiguration([buildRule({ idempotent: false, timeoutMs: 5_000 })]);

const unansweredCases = [
  { name: 'before the stop', isLate: false, status: 502 },
  { name: 'during the stop', isLate: true, status: 504 },
];

describe('stop of a daemon', () => {
  unansweredCases.forEach(({ name, isLate, status }) => {
    it(`answers a call that arrived ${name} and still runs at the end of the grace time`, async (context) => {
      const cluster = await startCluster(configuration, ['desk', 'records']);
      context.after(() => cluster.close());
      const [caller, upstream] = cluster.hosts as [TestHost, TestHost];
      upstream.serve = () => {};
      let closed: Promise<void> | undefined;
      if (isLate) closed = caller.relay.close();
      const running = sendCall(caller);
      await waitUntil(() => upstream.requests.length === 1, 'the call runs');
      closed ??= caller.relay.close();
      const grantedMs = Number(upstream.requests[0]?.headers[NAMES.deadline]);
      assert.equal(grantedMs < GRACE_MS, isLate, `the upstream was given ${grantedMs} ms`);
      assert.equal((await running).status, status);
      await closed;
    });
  });

  it('answers a call that is running when the stop begins', async (context) => {
    const cluster = await startCluster(configuration, ['desk', 'records']);
    context.after(() => cluster.close());
    const [caller, upstream] = cluster.hosts as [TestHost, TestHost];
    let answer: () => void = () => {};
    const { serve } = upstream;
    upstream.serve = (request, response) => {
      answer = () => serve(request, response);
    };
    const running = sendCall(caller);
    await waitUntil(() => upstream.requests.length === 1, 'the call runs');
    const closed = caller.relay.close();
    assert.equal(caller.relay.isReady(), false);
    answer();
    const { status, headers } = await running;
    assert.equal(status, 200);
    assert.equal(headers.connection, 'close');
    await closed;
  });

  it('answers or refuses a call that arrives while the registration is being removed', async (context) => {
    const cluster = await startCluster(configuration, ['desk', 'records']);
    context.after(() => cluster.close());
    const [caller, upstream] = cluster.hosts as [TestHost, TestHost];
    const { serve } = upstream;
    upstream.serve = (request, response) => {
      setTimeout(() => serve(request, response), 2 * SERVICE_MS);
    };
    let last: Promise<CallerAnswer> | undefined;
    cluster.observeRemoval = () => {
      last ??= sendCall(caller);
    };
    await caller.relay.close();
    assert.ok([200, 503].includes((await last)?.status ?? 0));
  });

  it('refuses calls that arrive too late as not run, and cuts off no running call', async (context) => {
    const cluster = await startCluster(configuration, ['desk', 'records']);
    context.after(() => cluster.close());
    const [caller, upstream] = cluster.hosts as [TestHost, TestHost];
    let finishCall: () => void = () => {};
    const { serve } = upstream;
    upstream.serve = (request, response) => {
      finishCall = () => serve(request, response);
    };
    const running = sendCall(caller);
    await waitUntil(() => upstream.requests.length === 1, 'the call runs');
    upstream.serve = serve;
    const closed = caller.relay.close();
    const answers: CallerAnswer[] = [];
    await waitUntil(() => {
      void sendCall(caller).then((answer) => answers.push(answer));
      return answers.some(({ status }) => status === 503);
    }, `a refusal within ${GRACE_MS} ms`);
    const refused = answers.find(({ status }) => status === 503);
    assert.ok(Number(refused?.headers['retry-after']) > 0);
    finishCall();
    assert.equal((await running).status, 200);
    await closed;
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMemberDepartures } from '../../CactusdealRelayDepartures.js';
import type { Upstream } from '../../CactusdealRelayTypes.js';
import { buildConfiguration, buildRule, buildUpstream } from '../CactusdealRelayFixtures.js';
import {
  answerOk,
  NAMES,
  type TestHost,
  sendCall,
  startCluster,
  waitUntil,
} from '../CactusdealRelayTestCluster.js';

const known: Partial<Upstream> = { id: 'u1', startedAtMs: 1_000, sequence: 5 };

const cases: readonly [
  name: string,
  before: Partial<Upstream>,
  next: Partial<Upstream>,
  boolean,
][] = [
  ['the end after the drain', { state: 'draining' }, { state: 'gone' }, true],
  ['the drain after the end', { state: 'gone' }, { state: 'draining', sequence: 9 }, false],
  ['an old drain', { state: 'draining' }, { state: 'draining', sequence: 4 }, false],
  ['a leave after a later heartbeat', { state: 'draining' }, { state: 'leaving' }, true],
  ['a drain after the leave', { state: 'leaving' }, { state: 'draining', sequence: 9 }, false],
  [
    'the drain of a later instance',
    { state: 'gone' },
    { state: 'draining', startedAtMs: 2_000 },
    true,
  ],
];

describe('departures that daemons tell one another', () => {
  cases.forEach(([name, before, next, isTaken]) => {
    it(`${isTaken ? 'take' : 'ignore'} ${name}`, () => {
      const departures = createMemberDepartures();
      departures.record('d1', buildUpstream({ ...known, ...before }));
      assert.equal(departures.record('d1', buildUpstream({ ...known, ...next })), isTaken);
    });
  });

  it('keep an upstream that said in an answer that it leaves out of use, also after a restart', async (context) => {
    const configuration = buildConfiguration([buildRule({ idempotent: false })]);
    const cluster = await startCluster(configuration, ['desk', 'records']);
    context.after(() => cluster.close());
    const [caller, leaving] = cluster.hosts as [TestHost, TestHost];
    leaving.serve = (request, response) => {
      response.setHeader(NAMES.leaving, '1');
      answerOk(request, response);
    };
    assert.equal((await sendCall(caller)).status, 200);
    // A heartbeat that was sent before the upstream knew, and delayed on the way.
    leaving.sendHeartbeat();
    assert.equal((await sendCall(caller)).status, 503);
    await leaving.restart();
    leaving.sendHeartbeat();
    await waitUntil(() => leaving.relay.upstreamTracker.get()?.state === 'leaving', 'told of it');
    assert.equal((await sendCall(caller)).status, 503);
    assert.equal(leaving.requests.length, 1);
  });

  it('keep an upstream that has left out of use after its daemon restarts', async (context) => {
    const configuration = buildConfiguration([buildRule({ idempotent: false })]);
    const cluster = await startCluster(configuration, ['desk', 'records']);
    context.after(() => cluster.close());
    const [caller, leaving] = cluster.hosts as [TestHost, TestHost];
    assert.equal((await sendCall(caller)).status, 200);
    leaving.relay.upstreamTracker.receiveEnd('u1', 1);
    await leaving.restart();
    // A heartbeat that was sent before the end and delayed on the way.
    leaving.sendHeartbeat();
    const isClosed = async (): Promise<boolean> => (await sendCall(caller)).status === 503;
    await waitUntil(() => leaving.relay.upstreamTracker.get()?.state === 'gone', 'told of the end');
    assert.equal(await isClosed(), true);
    assert.equal(leaving.requests.length, 1);
  });

  // Guards against DRAIN: the end of a restarted upstream was acknowledged and ignored, as no heartbeat had named its start.
  it('keep a restarted upstream out of use that ends before its first heartbeat, also after a restart of its daemon', async (context) => {
    const configuration = buildConfiguration([buildRule({ idempotent: false })]);
    const cluster = await startCluster(configuration, ['desk', 'records']);
    context.after(() => cluster.close());
    const [caller, leaving] = cluster.hosts as [TestHost, TestHost];
    assert.equal((await sendCall(caller)).status, 200);
    leaving.relay.upstreamTracker.receiveEnd('u1', 2);
    assert.equal((await sendCall(caller)).status, 503);
    leaving.sendHeartbeat({ startedAtMs: 2 });
    assert.equal((await sendCall(caller)).status, 503);
    await leaving.restart();
    await waitUntil(() => leaving.relay.upstreamTracker.get()?.state === 'gone', 'told of the end');
    leaving.sendHeartbeat({ startedAtMs: 2 });
    assert.equal((await sendCall(caller)).status, 503);
    assert.equal(leaving.requests.length, 1);
    leaving.sendHeartbeat({ startedAtMs: 3 });
    let isServed = false;
    const callOnce = async (): Promise<void> => {
      isServed ||= (await sendCall(caller)).status === 200;
    };
    await waitUntil(() => {
      void callOnce();
      return isServed;
    }, 'a later start serves');
  });
});

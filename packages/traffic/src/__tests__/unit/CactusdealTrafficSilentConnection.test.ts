import assert from 'node:assert/strict';
import type { RequestListener } from 'node:http';
import { afterEach, describe, it } from 'node:test';
import { type FaultProxy, startFaultProxy } from '@cactusdeal/testing';
import fc from 'fast-check';
import { AttemptState, createAttemptLog } from '../../CactusdealTrafficAttemptLog.js';
import { fetchAttemptState } from '../../CactusdealTrafficSilentConnection.js';
import {
  sendCall,
  startTestDaemon,
  startUpstream,
  type TestDaemon,
  type TestUpstream,
} from '../CactusdealTrafficFixtures.js';

const SEED = 20261204;
const LOOKUP = '/records/1';
const APPROVAL = '/records/approvals';
const CALL_WITH_KEY = { method: 'POST', body: 'approve', headers: { 'idempotency-key': 'k' } };

const answerOk: RequestListener = (request, response) => {
  request.resume();
  request.on('end', () => response.end('ok'));
};

describe('silent connections', () => {
  const open: { close(): Promise<void> }[] = [];
  afterEach(async () => {
    await Promise.all(open.splice(0).map((one) => one.close()));
  });

  interface ProxiedDaemons {
    readonly entry: TestDaemon;
    readonly gate: TestDaemon;
    readonly upstream: TestUpstream;
    /** Proxies between entry and gate, and between gate and upstream. */
    readonly toGate: FaultProxy;
    readonly toUpstream: FaultProxy;
  }

  async function startProxiedDaemons(listener: RequestListener): Promise<ProxiedDaemons> {
    const upstream = await startUpstream(listener);
    const toUpstream = await startFaultProxy({ target: upstream.address });
    const gate = await startTestDaemon({ memberId: 'gate', upstream: toUpstream.address });
    const toGate = await startFaultProxy({ target: gate.listener.address });
    const entry = await startTestDaemon({ memberId: 'entry' });
    entry.local = [{ ...gate.gate, address: toGate.address }];
    open.push(entry.listener, toGate, gate.listener, toUpstream, upstream);
    return { entry, gate, upstream, toGate, toUpstream };
  }

  it('retries an atMostOnce call over a new connection to its gate if it never arrived', async () => {
    const { entry, gate, upstream, toGate } = await startProxiedDaemons(answerOk);
    // The log covers the attempt's whole age, so an attempt that it does not hold never arrived.
    gate.clockOffsetMs = 60_000;
    assert.equal((await sendCall(entry.listener.address, LOOKUP)).status, 200);
    toGate.silenceOpenConnections();
    const answer = await sendCall(entry.listener.address, APPROVAL, CALL_WITH_KEY);
    assert.equal(answer.status, 200);
    assert.deepEqual(upstream.requests, [`GET ${LOOKUP}`, `POST ${APPROVAL}`]);
    assert.equal(await readCounter(entry, 'cactusdeal_silent_connections_total'), 1);
  });

  it('reports an atMostOnce call whose response was lost as unknown and runs it once', async () => {
    const path = await startProxiedDaemons((request, response) => {
      if (request.url === APPROVAL) path.toGate.silenceOpenConnections();
      answerOk(request, response);
    });
    const answer = await sendCall(path.entry.listener.address, APPROVAL, CALL_WITH_KEY);
    assert.equal(answer.headers['cactusdeal-refusal'], 'ConnectionSilent');
    assert.equal(answer.headers['cactusdeal-outcome'], 'unknown');
    assert.deepEqual(path.upstream.requests, [`POST ${APPROVAL}`]);
  });

  it('retries an idempotent call on a silent connection to its upstream', async () => {
    const { entry, gate, upstream, toUpstream } = await startProxiedDaemons(answerOk);
    await sendCall(entry.listener.address, LOOKUP);
    toUpstream.silenceOpenConnections();
    const stalled = sendCall(entry.listener.address, '/records/stuck');
    while ((await readCounter(gate, 'cactusdeal_gate_slots_in_use')) < 1) {
      await new Promise(setImmediate);
    }
    assert.equal((await sendCall(entry.listener.address, '/records/next')).status, 200);
    assert.equal((await stalled).status, 200);
    assert.deepEqual(upstream.requests, [
      `GET ${LOOKUP}`,
      'GET /records/next',
      'GET /records/stuck',
    ]);
  });

  it('waits for a call that is only slow and runs it once', async () => {
    const { entry, upstream } = await startProxiedDaemons((request, response) => {
      setTimeout(() => answerOk(request, response), 1200);
    });
    assert.equal((await sendCall(entry.listener.address, LOOKUP)).status, 200);
    assert.equal(upstream.requests.length, 1);
    assert.equal(await readCounter(entry, 'cactusdeal_silent_connections_total'), 0);
  });

  it('reports an attempt as forgotten or finished, and bars nothing that may have run', async () => {
    const { gate, upstream } = await startProxiedDaemons(answerOk);
    const headers = { 'cactusdeal-gate': 'worker-gate', 'cactusdeal-attempt': 'late' };
    const { address } = gate.listener;
    // Sent before the gate's log began: its state is unknown, and it must not be barred.
    assert.equal(await fetchAttemptState(address, 'late', 60_000), AttemptState.Forgotten);
    assert.equal((await sendCall(address, LOOKUP, { headers })).status, 200);
    assert.equal(await fetchAttemptState(address, 'late', 0), AttemptState.Finished);
    assert.equal(upstream.requests.length, 1);
  });
});

describe('the attempt log', () => {
  const step = fc.record({
    id: fc.integer({ min: 0, max: 12 }).map(String),
    action: fc.constantFrom('arrive', 'finish', 'query'),
    advanceMs: fc.integer({ min: 0, max: 4000 }),
  });

  it('bars no attempt that has run, and runs no barred attempt, even if it forgets', () => {
    let totalBarred = 0;
    fc.assert(
      fc.property(fc.array(step, { minLength: 30, maxLength: 120 }), (steps) => {
        const time = { nowMs: 0 };
        const log = createAttemptLog(() => time.nowMs, 3);
        const sentAtMs = new Map<string, number>();
        const began = new Set<string>();
        const barred = new Set<string>();
        for (const { id, action, advanceMs } of steps) {
          time.nowMs += advanceMs;
          const firstSentAtMs = sentAtMs.get(id);
          if (firstSentAtMs === undefined) sentAtMs.set(id, time.nowMs);
          else if (action === 'arrive' && !began.has(id) && log.begin(id)) began.add(id);
          else if (action === 'finish' && began.has(id)) log.finish(id);
          else if (
            action === 'query' &&
            log.query(id, time.nowMs - firstSentAtMs) === AttemptState.Barred
          ) {
            barred.add(id);
          }
          assert.ok([...barred].every((one) => !began.has(one)));
        }
        totalBarred += barred.size;
      }),
      { seed: SEED, numRuns: 500 },
    );
    assert.ok(totalBarred > 0);
  });

  it('bars a recent attempt that never arrived', () => {
    const time = { nowMs: 0 };
    const log = createAttemptLog(() => time.nowMs);
    time.nowMs = 60_000;
    assert.equal(log.query('lost', 500), AttemptState.Barred);
    assert.equal(log.begin('lost'), false);
  });
});

async function readCounter(daemon: TestDaemon, name: string): Promise<number> {
  const metric = await daemon.registry.getSingleMetric(name)?.get();
  return metric?.values[0]?.value ?? Number.NaN;
}

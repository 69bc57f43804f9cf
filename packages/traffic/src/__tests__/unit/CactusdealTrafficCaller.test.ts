import assert from 'node:assert/strict';
import type { RequestListener } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createSilentLog, getMonotonicMs } from '@cactusdeal/shared';
import { Registry } from 'prom-client';
import { type Caller, createCaller, createTrafficMetrics } from '../../index.js';
import {
  buildSnapshot,
  sendCall,
  SETTINGS,
  startTestDaemon,
  startUpstream,
  type TestDaemon,
} from '../CactusdealTrafficFixtures.js';

const LOOKUP = '/records/1';

const open: { close(): Promise<void> }[] = [];
afterEach(async () => {
  await Promise.all(open.splice(0).map((one) => one.close()));
});

async function startGate(listener: RequestListener, memberId = 'gate'): Promise<TestDaemon> {
  const upstream = await startUpstream(listener);
  const gate = await startTestDaemon({ memberId, upstream: upstream.address });
  gate.local = [gate.gate];
  open.push(gate.listener, upstream);
  return gate;
}

function createTestCaller(gates: readonly TestDaemon[]): Caller {
  const caller = createCaller({
    dataCentre: 'west',
    getSnapshot: () => buildSnapshot(),
    directory: { findLocal: () => gates.map((gate) => gate.gate), findRemote: () => [] },
    settings: SETTINGS,
    metrics: createTrafficMetrics(new Registry()),
    log: createSilentLog(),
    clock: getMonotonicMs,
    random: () => 0,
  });
  open.push(caller);
  return caller;
}

async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

describe('the caller library', () => {
  it('sends a call directly to the gate and returns the response', async () => {
    let depth: unknown;
    const gate = await startGate((request, response) => {
      depth = request.headers['cactusdeal-depth'];
      response.writeHead(201, { 'x-answer': 'yes' });
      request.pipe(response);
    });
    const result = await createTestCaller([gate]).call({
      method: 'POST',
      path: '/records/approvals',
      key: 'k',
      body: Buffer.from('approve'),
    });
    const answer = result.unsafeCoerce();
    assert.equal(answer.status, 201);
    assert.ok(answer.headers.map(String).includes('x-answer'));
    assert.equal(await readText(answer.body), 'approve');
    assert.equal(depth, '1');
    assert.deepEqual(gate.claims.events, ['claim k', 'complete k 201']);
  });

  it('returns a refusal as a value instead of throwing', async () => {
    const gate = await startGate((_request, response) => response.end());
    Object.assign(gate.worker ?? {}, { state: 'draining' });
    const result = await createTestCaller([gate]).call({ method: 'GET', path: LOOKUP });
    assert.equal(result.swap().unsafeCoerce().kind, 'Draining');
    assert.equal(result.swap().unsafeCoerce().outcome, 'not-run');
  });

  it('emits an error on the body of a truncated response', async () => {
    const gate = await startGate((_request, response) => {
      response.write('part', () => response.destroy());
    });
    const result = await createTestCaller([gate]).call({ method: 'GET', path: LOOKUP });
    await assert.rejects(readText(result.unsafeCoerce().body));
  });
});

describe('a graceful stop', () => {
  it('lets a call in flight end, refuses a new one as not run, and then resolves', async () => {
    let answerNow: (() => void) | undefined;
    const gate = await startGate((_request, response) => {
      response.write('begin ');
      answerNow = () => response.end('end');
    });
    const answer = await fetch(`http://${gate.listener.address}${LOOKUP}`);
    let drained = false;
    const drain = gate.listener.drain().then(() => {
      drained = true;
    });
    const refused = await sendCall(gate.listener.address, LOOKUP);
    assert.equal(refused.headers['cactusdeal-refusal'], 'Draining');
    assert.equal(refused.headers['cactusdeal-outcome'], 'not-run');
    assert.equal(refused.headers.connection, 'close');
    assert.equal(drained, false);
    answerNow?.();
    assert.equal(await answer.text(), 'begin end');
    await drain;
  });
});

describe('limits of a connection', () => {
  /** Writes bytes to a raw connection and returns all that is received until it is closed. */
  function sendRaw(address: string, text: string): Promise<string> {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      let received = '';
      const socket = connect({ host: host as string, port: Number(port) }, () =>
        socket.write(text),
      );
      socket.on('data', (chunk) => {
        received += chunk.toString();
      });
      socket.on('error', () => {});
      socket.on('close', () => resolve(received));
    });
  }

  const cases: readonly { name: string; text: string; answer: RegExp }[] = [
    {
      name: 'closes a connection whose header is not completed in time',
      text: 'GET /records/1 HTTP/1.1\r\nhost: x\r\n',
      answer: /^HTTP\/1.1 408/,
    },
    {
      name: 'refuses a header that is too large',
      text: `GET /records/1 HTTP/1.1\r\nhost: x\r\nx-large: ${'x'.repeat(20_000)}\r\n\r\n`,
      answer: /^HTTP\/1.1 431/,
    },
    {
      name: 'closes a connection whose body makes no progress',
      text: 'POST /records/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf',
      answer: /^$/,
    },
  ];
  for (const { name, text, answer } of cases) {
    it(name, async () => {
      const upstream = await startUpstream((_request, response) => response.end());
      const settings = { headerTimeoutMs: 100, idleTimeoutMs: 300 };
      const gate = await startTestDaemon({
        memberId: 'gate',
        upstream: upstream.address,
        settings,
      });
      open.push(gate.listener, upstream);
      assert.match(await sendRaw(gate.listener.address, text), answer);
      assert.deepEqual(upstream.requests, []);
    });
  }
});

describe('metrics of calls', () => {
  it('count by rank, tenant and class, and exclude the upstream from the added time', async () => {
    const gate = await startGate((_request, response) => {
      setTimeout(() => response.end('ok'), 300);
    });
    await sendCall(gate.listener.address, LOOKUP);
    await sendCall(gate.listener.address, '/nowhere');
    const text = await gate.registry.metrics();
    const labels = 'role="entry",rank="normal",tenant="oviedo",class="lookups"';
    assert.ok(text.includes(`cactusdeal_calls_total{${labels},outcome="completed"} 1`));
    assert.ok(
      text.includes('cactusdeal_refusals_total{role="entry",kind="NoRoute",outcome="not-run"} 1'),
    );
    const total = Number(new RegExp(`cactusdeal_call_seconds_sum{${labels}} (.*)`).exec(text)?.[1]);
    const added = Number(new RegExp(`call_added_seconds_sum{${labels}} (.*)`).exec(text)?.[1]);
    assert.ok(total >= 0.29, `total of ${total} s`);
    assert.ok(added <= total - 0.29, `added ${added} s of ${total} s`);
  });
});

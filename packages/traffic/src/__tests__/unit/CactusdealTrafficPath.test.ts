import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import {
  sendCall,
  startTestDaemon,
  startUpstream,
  type TestResponse,
  type TestCall,
  type TestDaemon,
} from '../CactusdealTrafficFixtures.js';

interface PathCase {
  readonly name: string;
  readonly path: string;
  readonly call?: TestCall;
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly runs: number;
}

const CASES: readonly PathCase[] = [
  {
    name: 'answers a call through entry and gate',
    path: '/records/1?x=2',
    status: 200,
    headers: { 'cactusdeal-outcome': 'completed', 'x-seen': 'GET /records/1?x=2' },
    runs: 1,
  },
  {
    name: 'refuses a call without a matching route',
    path: '/photographs',
    status: 404,
    headers: { 'cactusdeal-outcome': 'not-run', 'cactusdeal-refusal': 'NoRoute' },
    runs: 0,
  },
  {
    name: 'refuses an atMostOnce call without a key',
    path: '/records/approvals',
    call: { method: 'POST', body: 'x' },
    status: 400,
    headers: { 'cactusdeal-outcome': 'not-run', 'cactusdeal-refusal': 'KeyMissing' },
    runs: 0,
  },
  {
    name: 'sends an atMostOnce call with a key',
    path: '/records/approvals',
    call: { method: 'POST', body: 'x', headers: { 'idempotency-key': 'k1' } },
    status: 200,
    headers: { 'cactusdeal-outcome': 'completed' },
    runs: 1,
  },
  {
    name: 'does not send a second call with the same key',
    path: '/records/approvals',
    call: { method: 'POST', body: 'x', headers: { 'idempotency-key': 'k1' } },
    status: 409,
    headers: { 'cactusdeal-outcome': 'running', 'cactusdeal-refusal': 'KeyClaimed' },
    runs: 0,
  },
  {
    name: 'refuses a body above the limit of the route',
    path: '/records/notes',
    call: { method: 'POST', body: Buffer.alloc(1001) },
    status: 413,
    headers: { 'cactusdeal-outcome': 'not-run', 'cactusdeal-refusal': 'BodyTooLarge' },
    runs: 0,
  },
  {
    name: 'refuses a call above the maximum depth',
    path: '/records/1',
    call: { headers: { 'cactusdeal-depth': '17' } },
    status: 508,
    headers: { 'cactusdeal-outcome': 'not-run', 'cactusdeal-refusal': 'BudgetExhausted' },
    runs: 0,
  },
];

describe('the path of a call', async () => {
  const upstream = await startUpstream((request, response) => {
    request.resume();
    request.on('end', () => {
      response.writeHead(200, { 'x-seen': `${request.method} ${request.url}` });
      response.end('ok');
    });
  });
  const gate = await startTestDaemon({ memberId: 'gate', upstream: upstream.address });
  const entry = await startTestDaemon({ memberId: 'entry' });
  entry.local = [gate.gate];
  gate.local = [gate.gate];
  after(async () => {
    await Promise.all([entry, gate].map((daemon: TestDaemon) => daemon.listener.close()));
    await upstream.close();
  });

  for (const example of CASES) {
    it(example.name, async () => {
      const before = upstream.requests.length;
      const answer: TestResponse = await sendCall(
        entry.listener.address,
        example.path,
        example.call,
      );
      assert.equal(answer.status, example.status);
      for (const [name, value] of Object.entries(example.headers)) {
        assert.equal(answer.headers[name], value);
      }
      assert.equal(upstream.requests.length - before, example.runs);
    });
  }
});

import assert from 'node:assert/strict';
import {
  Agent,
  type IncomingMessage,
  request as sendRequest,
  type RequestListener,
} from 'node:http';
import { afterEach, describe, it } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createSeededRandom } from '@cactusdeal/shared';
import {
  sendCall,
  startTestDaemon,
  startUpstream,
  type TestDaemon,
  type TestUpstream,
} from '../CactusdealTrafficFixtures.js';

const SEED = 20261204;
const CHUNK = Buffer.alloc(64 * 1024, 7);
const CHUNKS = 480;
const BODY_BYTES = CHUNK.length * CHUNKS;
const MEMORY_LIMIT_BYTES = 8 * 1024 * 1024;
const STABLE_POLLS = 20;
const POLL_INTERVAL_MS = 10;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Writes the complete body with back pressure, always from the same chunk. */
async function writeBody(
  target: NodeJS.WritableStream,
  count: (chunks: number) => void,
): Promise<void> {
  for (let sent = 1; sent <= CHUNKS; sent += 1) {
    if (!target.write(CHUNK)) {
      await new Promise((resolve) => {
        target.once('drain', resolve);
        target.once('close', resolve);
      });
    }
    count(sent);
  }
  target.end();
}

/**
 * Waits until a count has been stable for `STABLE_POLLS` polls, then returns the bytes that buffers
 * hold. Freed buffers leave this figure some time after a garbage collection, so the lowest of the
 * readings is returned.
 */
async function readBufferBytesWhenStalled(read: () => number): Promise<number> {
  let last = -1;
  let leastBytes = Infinity;
  for (let quiet = 0; quiet < STABLE_POLLS; quiet += 1) {
    if (read() !== last) quiet = 0;
    last = read();
    collectGarbage();
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
    const heldBytes = process.memoryUsage().arrayBuffers;
    leastBytes = quiet === 0 ? heldBytes : Math.min(leastBytes, heldBytes);
  }
  return leastBytes;
}

describe('bodies', () => {
  const open: { close(): Promise<void> }[] = [];
  afterEach(async () => {
    await Promise.all(open.splice(0).map((one) => one.close()));
  });

  async function startPath(
    listener: RequestListener,
    slots = 4,
  ): Promise<{ entry: TestDaemon; gate: TestDaemon; upstream: TestUpstream }> {
    const upstream = await startUpstream(listener);
    const gate = await startTestDaemon({ memberId: 'gate', upstream: upstream.address, slots });
    const entry = await startTestDaemon({ memberId: 'entry' });
    entry.local = [gate.gate];
    open.push(entry.listener, gate.listener, upstream);
    return { entry, gate, upstream };
  }

  it('streams a large response with back pressure from its reader', async () => {
    let sent = 0;
    const { entry } = await startPath((_request, response) => {
      void writeBody(response, (chunks) => {
        sent = chunks;
      });
    });
    collectGarbage();
    const before = process.memoryUsage().arrayBuffers;
    const answer = await new Promise<IncomingMessage>((resolve, reject) => {
      sendRequest(`http://${entry.listener.address}/records/1`, { agent: false })
        .on('response', resolve)
        .on('error', reject)
        .end();
    });
    const held = (await readBufferBytesWhenStalled(() => sent)) - before;
    assert.ok(sent < CHUNKS, 'the body is too small for a stall');
    assert.ok(held < MEMORY_LIMIT_BYTES, `${held} bytes are held`);
    let received = 0;
    for await (const chunk of answer) received += (chunk as Buffer).length;
    assert.equal(received, BODY_BYTES);
  });

  it('streams a large request with back pressure from the upstream', async () => {
    let sent = 0;
    let received = 0;
    let readNow: (() => void) | undefined;
    const { entry } = await startPath((request, response) => {
      readNow = () => {
        request.on('data', (chunk: Buffer) => {
          received += chunk.length;
        });
        request.on('end', () => response.end('ok'));
      };
    });
    collectGarbage();
    const before = process.memoryUsage().arrayBuffers;
    const request = sendRequest(`http://${entry.listener.address}/records/1`, {
      agent: false,
      method: 'POST',
      headers: { 'content-length': BODY_BYTES },
    });
    const answered = new Promise<IncomingMessage>((resolve, reject) => {
      request.on('response', resolve).on('error', reject);
    });
    void writeBody(request, (chunks) => {
      sent = chunks;
    });
    const held = (await readBufferBytesWhenStalled(() => sent)) - before;
    assert.ok(sent < CHUNKS, 'the body is too small for a stall');
    assert.ok(held < MEMORY_LIMIT_BYTES, `${held} bytes are held`);
    readNow?.();
    assert.equal((await answered).resume().statusCode, 200);
    assert.equal(received, BODY_BYTES);
  });

  it('delivers the refusal of a large request that is refused before its end', async () => {
    const { entry, gate, upstream } = await startPath((_request, response) => response.end('ok'));
    Object.assign(gate.worker ?? {}, { state: 'draining' });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let round = 0; round < 3; round += 1) {
      const answer = await new Promise<IncomingMessage>((resolve, reject) => {
        const request = sendRequest(`http://${entry.listener.address}/records/1`, {
          agent,
          method: 'POST',
          headers: { 'content-length': BODY_BYTES },
        });
        request.on('response', resolve).on('error', reject);
        void writeBody(request, () => {});
      });
      assert.equal(answer.resume().headers['cactusdeal-outcome'], 'not-run');
      assert.equal(answer.headers['cactusdeal-refusal'], 'Draining');
    }
    agent.destroy();
    assert.deepEqual(upstream.requests, []);
  });

  it('refuses a chunked body above the limit as unknown once a part was sent', async () => {
    let sendRest: (() => void) | undefined;
    let whole = false;
    const { entry } = await startPath((request) => {
      request.once('data', () => sendRest?.());
      request.on('end', () => {
        whole = true;
      });
    });
    const answer = await new Promise<IncomingMessage>((resolve, reject) => {
      const request = sendRequest(`http://${entry.listener.address}/records/notes`, {
        agent: false,
        method: 'POST',
      });
      request.on('response', (response) => resolve(response.resume()));
      request.on('error', reject);
      request.write(Buffer.alloc(900));
      sendRest = () => request.end(Buffer.alloc(900));
    });
    assert.equal(answer.statusCode, 413);
    assert.equal(answer.headers['cactusdeal-outcome'], 'unknown');
    assert.equal(whole, false);
  });

  const truncationCases: readonly {
    readonly name: string;
    readonly headers: Record<string, string>;
  }[] = [
    { name: 'a chunked response', headers: {} },
    { name: 'a response of stated length', headers: { 'content-length': '100' } },
  ];
  for (const { name, headers } of truncationCases) {
    it(`${name} that the upstream truncates is no success for the caller`, async () => {
      const { entry, gate } = await startPath((_request, response) => {
        response.writeHead(200, headers);
        response.write('part', () => response.destroy());
      });
      await assert.rejects(sendCall(entry.listener.address, '/records/1'));
      await assert.rejects(
        sendCall(gate.listener.address, '/records/1', {
          headers: { 'cactusdeal-gate': 'worker-gate' },
        }),
      );
    });

    it(`${name} that the gate truncates is no success for the caller`, async () => {
      const { entry, gate } = await startPath((_request, response) => {
        response.writeHead(200, headers);
        response.write('part');
      });
      const answer = await fetch(`http://${entry.listener.address}/records/1`);
      await Promise.all([gate.listener.close(), assert.rejects(answer.text())]);
    });
  }

  it('delivers late and reordered responses only to their own callers, also after aborts', async () => {
    const random = createSeededRandom(SEED);
    const waiting: (() => void)[] = [];
    const { entry } = await startPath((request, response) => {
      waiting.push(() => response.end(`answer to ${request.url}`));
      if (waiting.length >= 3) waiting.splice(Math.floor(random() * waiting.length), 1)[0]?.();
    }, 64);
    const timer = setInterval(
      () => waiting.splice(Math.floor(random() * waiting.length), 1)[0]?.(),
      1,
    );
    let aborted = 0;
    const results = await Promise.all(
      Array.from({ length: 300 }, async (_, index) => {
        const path = `/records/${index}`;
        const controller = new AbortController();
        const abortAfterMs = random() < 0.3 ? Math.floor(random() * 20) : 5000;
        const abortTimer = setTimeout(() => controller.abort(), abortAfterMs);
        try {
          const answer = await fetch(`http://${entry.listener.address}${path}`, {
            signal: controller.signal,
          });
          const text = await answer.text();
          return answer.ok ? text === `answer to ${path}` : answer.status === 503;
        } catch {
          aborted += 1;
          return controller.signal.aborted;
        } finally {
          clearTimeout(abortTimer);
        }
      }),
    );
    clearInterval(timer);
    assert.ok(aborted > 0);
    assert.deepEqual(
      results.filter((right) => !right),
      [],
    );
  });
});

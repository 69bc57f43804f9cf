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
const QUIET_POLLS = 20;
const POLL_MS = 10;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Writes the whole body with back pressure, always from the same chunk. */
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
 * Waits until a count has not moved for a while, then gives the memory that buffers hold. Freed
 * buffers leave the count some time after a collection, so that the least of several readings counts.
 */
async function readStalledBuffers(read: () => number): Promise<number> {
  let last = -1;
  let leastBytes = Infinity;
  for (let quiet = 0; quiet < QUIET_POLLS; quiet += 1) {
    if (read() !== last) quiet = 0;
    last = read();
    collectGarbage();
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
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

  it('a large answer waits for its reader and then arrives whole', async () => {
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
    const held = (await readStalledBuffers(() => sent)) - before;
    assert.ok(sent < CHUNKS, 'the body is too small for a stall');
    assert.ok(held < MEMORY_LIMIT_BYTES, `${held} bytes are held`);
    let received = 0;
    for await (const chunk of answer) received += (chunk as Buffer).length;
    assert.equal(received, BODY_BYTES);
  });

  it('a large request waits for the upstream and then arrives whole', async () => {
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
    const held = (await readStalledBuffers(() => sent)) - before;
    assert.ok(sent < CHUNKS, 'the body is too small for a stall');
    assert.ok(held < MEMORY_LIMIT_BYTES, `${held} bytes are held`);
    readNow?.();
    assert.equal((await answered).resume().statusCode, 200);
    assert.equal(received, BODY_BYTES);
  });

  it('a large request that is refused early still learns why', async () => {
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
    assert.deepEqual(upstream.seen, []);
  });

  it('an unannounced length above the limit is refused as unknown once a part was sent', async () => {
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

  const cuts: readonly { readonly name: string; readonly headers: Record<string, string> }[] = [
    { name: 'a chunked answer', headers: {} },
    { name: 'an answer of stated length', headers: { 'content-length': '100' } },
  ];
  for (const { name, headers } of cuts) {
    it(`${name} that its upstream cuts short is no success for the caller`, async () => {
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

    it(`${name} that a hop cuts short is no success for the caller`, async () => {
      const { entry, gate } = await startPath((_request, response) => {
        response.writeHead(200, headers);
        response.write('part');
      });
      const answer = await fetch(`http://${entry.listener.address}/records/1`);
      await Promise.all([gate.listener.close(), assert.rejects(answer.text())]);
    });
  }

  it('answers that are late, crossed or abandoned reach nobody else', async () => {
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
    let abandoned = 0;
    const results = await Promise.all(
      Array.from({ length: 300 }, async (_, index) => {
        const path = `/records/${index}`;
        const controller = new AbortController();
        const patienceMs = random() < 0.3 ? Math.floor(random() * 20) : 5000;
        const impatience = setTimeout(() => controller.abort(), patienceMs);
        try {
          const answer = await fetch(`http://${entry.listener.address}${path}`, {
            signal: controller.signal,
          });
          const text = await answer.text();
          return answer.ok ? text === `answer to ${path}` : answer.status === 503;
        } catch {
          abandoned += 1;
          return controller.signal.aborted;
        } finally {
          clearTimeout(impatience);
        }
      }),
    );
    clearInterval(timer);
    assert.ok(abandoned > 0);
    assert.deepEqual(
      results.filter((right) => !right),
      [],
    );
  });
});

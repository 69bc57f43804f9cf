import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createChunkPacer, getMonotonicMs } from '@cactusdeal/shared';
import { type EndlessData, LONG_TEXT, startEndlessServer } from '@cactusdeal/testing';
import { createUpstreamPool, type UpstreamEnd } from '../../CactusdealRelayUpstream.js';
import { MAX_ANSWER_BYTES } from '../../CactusdealRelayUpstreamAnswer.js';

type Behave = (socket: Socket) => void;

interface Case {
  readonly name: string;
  readonly behave: Behave;
  readonly expected: UpstreamEnd['type'];
  readonly body?: string;
}

const head = (fields: string): string => `HTTP/1.1 200 OK\r\nx-id: c1\r\n${fields}\r\n`;

const cases: readonly Case[] = [
  {
    name: 'a complete answer with a length',
    behave: (socket) => socket.write(`${head('content-length: 2\r\n')}ok`),
    expected: 'answered',
    body: 'ok',
  },
  {
    name: 'an answer that ends with its connection',
    behave: (socket) => socket.end(`${head('')}whole`),
    expected: 'answered',
    body: 'whole',
  },
  {
    name: 'an answer without a length that is reset together with its data',
    behave: (socket) => writeThenReset(socket, `${head('')}half`),
    expected: 'broken',
  },
  {
    name: 'an answer without a length that is reset 20 ms after its data',
    behave: (socket) => {
      socket.write(`${head('')}half`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    expected: 'broken',
  },
  {
    name: 'a chunked answer that is reset before its last chunk',
    behave: (socket) =>
      writeThenReset(
        socket,
        `${head('connection: close\r\ntransfer-encoding: chunked\r\n')}4\r\nhalf\r\n`,
      ),
    expected: 'broken',
  },
  {
    name: 'an answer that is shorter than its length',
    behave: (socket) => socket.end(`${head('content-length: 9\r\n')}half`),
    expected: 'broken',
  },
  {
    name: 'an answer to another request',
    behave: (socket) => socket.write('HTTP/1.1 200 OK\r\nx-id: c0\r\ncontent-length: 2\r\n\r\nno'),
    expected: 'broken',
  },
  {
    name: 'an answer that ends within its first field',
    behave: (socket) => socket.end('HTTP/1.1 200 OK\r\nx-i'),
    expected: 'broken',
  },
  {
    name: 'an answer that ends within its head',
    behave: (socket) => socket.end('HTTP/1.1 200 OK\r\nx-id: c1\r\ncontent-length: 2\r\n'),
    expected: 'broken',
  },
  {
    name: 'an answer that ends within its head, after an interim response',
    behave: (socket) =>
      socket.end('HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nx-id: c1\r\n'),
    expected: 'broken',
  },
  {
    name: 'an answer that is to end with its connection, which closes within its head',
    behave: (socket) => socket.end('HTTP/1.1 200 OK\r\nx-id: c1\r\nconnection: close\r\n'),
    expected: 'broken',
  },
  {
    name: 'data that is not HTTP',
    behave: (socket) => socket.write('garbage\r\n\r\n'),
    expected: 'broken',
  },
  {
    name: 'a connection that closes without an answer',
    behave: (socket) => socket.end(),
    expected: 'broken',
  },
];

describe('request to the upstream', () => {
  cases.forEach(({ name, behave, expected, body }) => {
    it(`is ${expected} after ${name}`, async () => {
      const server = createServer((socket) => {
        socket.on('error', () => {});
        socket.once('data', () => behave(socket));
      });
      const pool = createPool(await listen(server));
      const end = await send(pool);
      assert.equal(end.type, expected, JSON.stringify(end));
      if (end.type === 'answered') {
        assert.equal(Buffer.from(end.answer.body).toString(), body);
      }
      pool.close();
      server.close();
    });
  });

  it('is unsent if the connection is refused', async () => {
    const server = createServer();
    const address = await listen(server);
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const pool = createPool(address);
    assert.equal((await send(pool)).type, 'unsent');
    pool.close();
  });

  it('closes its connection when it is cancelled', async () => {
    let notifyClosed: () => void = () => {};
    const closed = new Promise<void>((resolve) => {
      notifyClosed = resolve;
    });
    const server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => call.cancel());
      socket.on('close', notifyClosed);
    });
    const pool = createPool(await listen(server));
    const call = pool.send({ method: 'GET', path: '/', headers: [], body: undefined, id: 'c1' });
    assert.equal((await call.end).type, 'broken');
    await closed;
    pool.close();
    server.close();
  });
});

interface CopyCase {
  readonly name: string;
  /** The second copy of the answer to the first request, or a part of it. */
  readonly copy: string;
  /** Time from the first answer to its copy, in milliseconds. */
  readonly afterMs: number;
}

const answerTo = (id: string): string =>
  `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 2\r\n\r\n${id}`;

const copyCases: readonly CopyCase[] = [0, 1, 5, 20, 100].flatMap((afterMs) => [
  { name: 'whole', copy: answerTo('c1'), afterMs },
  { name: 'cut in its head', copy: answerTo('c1').slice(0, 12), afterMs },
  { name: 'cut in its body', copy: answerTo('c1').slice(0, -1), afterMs },
]);

describe('a second copy of an answer', () => {
  copyCases.forEach(({ name, copy, afterMs }) => {
    it(`reaches no other caller, ${name} after ${afterMs} ms`, async () => {
      let isCopied = false;
      const asked = new Set<string>();
      const server = createServer((socket) => {
        socket.on('error', () => {});
        socket.on('data', (data: Buffer) => {
          const [, id = ''] = /x-ask: (\w+)/.exec(data.toString()) ?? [];
          asked.add(id);
          if (id === 'c1') socket.write(answerTo('c1'));
          // The copy goes ahead of the answer to the request that uses the connection again.
          else if (!isCopied) socket.write(copy, () => socket.write(answerTo(id)));
          else socket.write(answerTo(id));
          isCopied = id !== 'c1';
        });
        setTimeout(() => {
          if (!isCopied) socket.write(copy);
          isCopied = true;
        }, afterMs);
      });
      const pool = createPool(await listen(server));
      const ask = (id: string): Promise<UpstreamEnd> =>
        pool.send({ method: 'GET', path: '/', headers: ['x-ask', id], body: undefined, id }).end;
      await ask('c1');
      const ends = [await ask('c2'), await ask('c3')];
      ends.forEach((end, index) => {
        const id = `c${index + 2}`;
        if (end.type === 'answered') assert.equal(Buffer.from(end.answer.body).toString(), id);
        else assert.ok(end.type === 'broken' || !asked.has(id), `${id} is unsent, but arrived`);
      });
      pool.close();
      server.close();
      server.unref();
    });
  });
});

const reuseCases = [
  { name: 'names no end of the connection', fields: '', connections: 1 },
  { name: 'keeps the connection for 60 s', fields: 'keep-alive: timeout=60\r\n', connections: 1 },
  { name: 'keeps the connection for 1 s', fields: 'keep-alive: timeout=1\r\n', connections: 2 },
  { name: 'closes the connection', fields: 'connection: close\r\n', connections: 2 },
];

describe('the connection after an answer that', () => {
  reuseCases.forEach(({ name, fields, connections }) => {
    it(`${name}: ${connections === 1 ? 'used again' : 'not used again'}`, async (context) => {
      const opened = new Set<Socket>();
      const server = createServer((socket) => {
        socket.on('error', () => {});
        socket.on('data', () => {
          opened.add(socket);
          socket.write(`${head(`${fields}content-length: 2\r\n`)}ok`);
        });
      });
      const pool = createPool(await listen(server));
      context.after(() => {
        pool.close();
        server.close();
      });
      assert.equal((await send(pool)).type, 'answered');
      assert.equal((await send(pool)).type, 'answered');
      assert.equal(opened.size, connections);
    });
  });
});

interface RefusalCase {
  readonly name: string;
  /** Answer to the first request of each connection. */
  readonly first: string;
  /** What is written for each later request of a connection. */
  readonly refusal: string;
  /** Whether the second request is sent on a connection of its own, where no earlier one was refused. */
  readonly isNew: boolean;
}

const named = refuse('x-id: c1\r\n');
const unnamed = refuse('');
const refusalCases: readonly RefusalCase[] = [
  { name: 'a named one', first: named, refusal: named, isNew: false },
  { name: 'one without a name', first: unnamed, refusal: unnamed, isNew: true },
  { name: 'one that lost its name', first: named, refusal: unnamed, isNew: false },
];

function refuse(fields: string): string {
  return `HTTP/1.1 503 Busy\r\n${fields}x-not-run: 1\r\ncontent-length: 0\r\n\r\n`;
}

describe('an earlier refusal that is written once more', () => {
  refusalCases.forEach(({ name, first, refusal, isNew }) => {
    it(`refuses no request that was sent later on its connection: ${name}`, async (context) => {
      const server = createServer((socket) => {
        socket.on('error', () => {});
        let requests = 0;
        socket.on('data', () => {
          requests += 1;
          socket.write(requests === 1 ? first : refusal);
        });
      });
      const pool = createPool(await listen(server));
      context.after(() => {
        pool.close();
        server.close();
      });
      await send(pool);
      const later = { method: 'GET', path: '/', headers: [], body: undefined, id: 'c2' };
      const end = await pool.send(later).end;
      const isRefused = end.type === 'answered' && end.answer.status === 503;
      assert.equal(isRefused, isNew, JSON.stringify(end));
    });
  });
});

interface EndlessCase extends EndlessData {
  readonly name: string;
}

const unit = LONG_TEXT;
const endlessCases: readonly EndlessCase[] = [
  { name: 'a status line', start: 'HTTP/1.1 200 ', unit },
  { name: 'header lines', start: 'HTTP/1.1 200 OK\r\n', unit: 'x-more: 1\r\n'.repeat(1_000) },
  { name: 'one header field', start: 'HTTP/1.1 200 OK\r\nx-long: ', unit },
  { name: 'interim responses', start: '', unit: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100) },
  { name: 'a body without a length', start: head(''), unit },
  { name: 'a chunk size', start: head('transfer-encoding: chunked\r\n'), unit: '0'.repeat(1_000) },
  {
    name: 'a chunk extension',
    start: `${head('transfer-encoding: chunked\r\n')}4;name=`,
    unit,
  },
  {
    name: 'chunks',
    start: head('transfer-encoding: chunked\r\n'),
    unit: `10000\r\n${unit}\r\n`,
  },
  {
    name: 'trailer fields',
    start: `${head('transfer-encoding: chunked\r\n')}0\r\n`,
    unit: 'x-more: 1\r\n'.repeat(1_000),
  },
  { name: 'data that is not HTTP', start: '', unit },
  { name: 'data after an answer', start: `${head('content-length: 2\r\n')}ok`, unit },
];

/** Most bytes that the pool may take of data without end; the limit of a body and some in transit. */
const MAX_TAKEN_BYTES = 2 * MAX_ANSWER_BYTES;
const ENDLESS_LIMIT_MS = 4_000;

describe('data without end from the upstream', () => {
  endlessCases.forEach(({ name, ...data }) => {
    it(`ends the connection: ${name}`, { timeout: 2 * ENDLESS_LIMIT_MS }, async (context) => {
      const server = await startEndlessServer(data);
      const pool = createPool(server.address);
      context.after(() => {
        pool.close();
        server.close();
      });
      const call = pool.send({ method: 'GET', path: '/', headers: [], body: undefined, id: 'c1' });
      const timer = setTimeout(() => call.cancel(), ENDLESS_LIMIT_MS);
      const end = await call.end;
      clearTimeout(timer);
      assert.ok(end.type !== 'answered' || name === 'data after an answer', end.type);
      const takenBytes = await server.takenBytes;
      assert.ok(takenBytes < MAX_TAKEN_BYTES, `${takenBytes} bytes taken`);
    });
  });
});

function createPool(address: string): ReturnType<typeof createUpstreamPool> {
  const pacer = createChunkPacer();
  return createUpstreamPool({ address, idField: 'x-id', clock: getMonotonicMs, pacer });
}

function send(pool: ReturnType<typeof createUpstreamPool>): Promise<UpstreamEnd> {
  return pool.send({ method: 'GET', path: '/', headers: [], body: undefined, id: 'c1' }).end;
}

function writeThenReset(socket: Socket, text: string): void {
  socket.write(text, () => setImmediate(() => socket.resetAndDestroy()));
}

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number };
      resolve(`127.0.0.1:${port}`);
    });
  });
}

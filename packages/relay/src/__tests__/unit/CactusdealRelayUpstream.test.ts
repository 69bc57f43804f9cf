import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { getMonotonicMs } from '@cactusdeal/shared';
import { createUpstreamPool, type UpstreamEnd } from '../../CactusdealRelayUpstream.js';

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

function createPool(address: string): ReturnType<typeof createUpstreamPool> {
  return createUpstreamPool({ address, idField: 'x-id', clock: getMonotonicMs });
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

import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createChunkPacer, getMonotonicMs } from '@cactusdeal/shared';
import {
  createUpstreamPool,
  type UpstreamEnd,
  type UpstreamPool,
} from '../../CactusdealRelayUpstream.js';

type Behave = (socket: Socket) => void;

const HEAD = 'HTTP/1.1 200 OK\r\nx-id: c1\r\n';
const TRUNCATED = `${HEAD}\r\nhalf`;
const MB = 1_000_000;
/** More than the buffers of a loopback connection take while the upstream reads nothing. */
const LARGE_BYTES = 12 * MB;
/** The kernel takes all of it, so that only a reset shows that the answer is truncated. */
const SMALL_BYTES = 0.9 * MB;
const TRIALS = 4;
/** Ends a test whose request never ends. */
const options = { timeout: 5_000 };

const resetAfter =
  (delayMs: number): Behave =>
  (socket) => {
    socket.end(TRUNCATED);
    setTimeout(() => socket.resetAndDestroy(), delayMs);
  };

const breakOffs: readonly { readonly name: string; readonly behave: Behave }[] = [
  {
    name: 'is reset in the same turn',
    behave: (socket) => {
      socket.write(TRUNCATED);
      socket.resetAndDestroy();
    },
  },
  {
    name: 'is closed with unread data 1 ms later',
    behave: (socket) => {
      socket.write(TRUNCATED);
      setTimeout(() => socket.destroy(), 1);
    },
  },
];
const orderlyEnds = [1, 2, 20, 300].map((delayMs) => ({
  name: `ends in order, then is reset ${delayMs} ms later`,
  behave: resetAfter(delayMs),
}));
const truncations = [
  ...[...breakOffs, ...orderlyEnds].map((item) => ({ ...item, bytes: LARGE_BYTES })),
  ...breakOffs.map((item) => ({ ...item, bytes: SMALL_BYTES })),
];

/** A truncated answer that reaches a caller as a success is a loss that nobody notices. */
describe('an answer without a length to a request that is still being written', () => {
  truncations.forEach(({ name, behave, bytes }) => {
    it(`is broken if its connection ${name}: ${bytes / MB} MB`, options, async (context) => {
      const pool = await startPool(context, (socket) => {
        socket.pause();
        behave(socket);
      });
      for (let trial = 0; trial < TRIALS; trial += 1) {
        assert.equal((await send(pool, Buffer.alloc(bytes))).type, 'broken');
      }
    });
  });
});

const invalidAnswers: readonly { readonly name: string; readonly text: string }[] = [
  ...['000', '099', '0200', '20', '600', '999'].map((status) => ({
    name: `status ${status}`,
    text: `HTTP/1.1 ${status} OK\r\nx-id: c1\r\ncontent-length: 2\r\n\r\nok`,
  })),
  ...[
    { name: 'a blank in a field name', field: 'x odd: 1' },
    { name: 'a tab in a field name', field: 'x\todd: 1' },
    { name: 'a control byte in a field name', field: 'x\u0001odd: 1' },
    { name: 'an empty field name', field: ': 1' },
    { name: 'a blank after a field name', field: 'x-odd : 1' },
    { name: 'a folded line', field: 'x-odd: 1\r\n 2' },
    { name: 'a line folded with a tab', field: 'x-odd: 1\r\n\t2' },
  ].flatMap(({ name, field }) => [
    { name, text: `${HEAD}${field}\r\ncontent-length: 2\r\n\r\nok` },
    { name: `${name}, in a trailer`, text: buildChunked(field) },
  ]),
  { name: 'a blank after Content-Length', text: `${HEAD}Content-Length : 2\r\n\r\nok` },
  { name: 'a folded first line', text: `HTTP/1.1 200 OK\r\n x-id: c1\r\n\r\nok` },
  { name: 'a trailer without a colon', text: buildChunked('x-odd') },
];

function buildChunked(trailer: string): string {
  return `${HEAD}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n${trailer}\r\n\r\n`;
}

/** Without a rule for them, the HTTP client passes on some of these as whole answers. */
describe('an invalid answer', () => {
  invalidAnswers.forEach(({ name, text }) => {
    it(`is broken: ${name}`, options, async (context) => {
      const pool = await startPool(context, (socket) => socket.end(text));
      assert.equal((await send(pool)).type, 'broken');
    });
    it(`is broken if it arrives in pieces: ${name}`, options, async (context) => {
      const pool = await startPool(context, (socket) => {
        writeBytewise(socket, text).catch(() => socket.destroy());
      });
      assert.equal((await send(pool)).type, 'broken');
    });
  });
});

const validAnswers: readonly { readonly name: string; readonly text: string }[] = [
  { name: 'without a length', text: `${HEAD}\r\nok` },
  { name: 'with chunks and a trailer', text: buildChunked('x-sum: 1') },
  { name: 'with blanks in a value', text: `${HEAD}x-odd: 1 \t2\r\ncontent-length: 2\r\n\r\nok` },
  {
    name: 'with a body that looks like a folded line',
    text: `${HEAD}content-length: 6\r\n\r\n\r\n 2ok`,
  },
  {
    name: 'after an interim response',
    text: `HTTP/1.1 102 Wait\r\nx-a: 1\r\n\r\n${HEAD}content-length: 2\r\n\r\nok`,
  },
  { name: 'without a body', text: 'HTTP/1.1 204 None\r\nx-id: c1\r\n\r\n' },
];

describe('a valid answer', () => {
  validAnswers.forEach(({ name, text }) => {
    it(`is passed on: ${name}`, options, async (context) => {
      const pool = await startPool(context, (socket) => socket.end(text));
      assert.equal((await send(pool)).type, 'answered');
    });
  });

  it(
    'with a length is passed on before its request is written, and ends its connection',
    options,
    async (context) => {
      const sockets: Socket[] = [];
      const pool = await startPool(context, (socket) => {
        socket.pause();
        sockets.push(socket);
        socket.write(`${HEAD}content-length: 2\r\n\r\nok`);
      });
      for (let trial = 1; trial <= TRIALS; trial += 1) {
        assert.equal((await send(pool, Buffer.alloc(LARGE_BYTES))).type, 'answered');
        assert.equal(sockets.length, trial);
      }
    },
  );
});

async function writeBytewise(socket: Socket, text: string): Promise<void> {
  for (const byte of Buffer.from(text, 'latin1')) {
    await new Promise<void>((resolve) => {
      socket.write(Buffer.of(byte), () => setImmediate(resolve));
    });
  }
  socket.end();
}

async function startPool(
  context: { readonly after: (close: () => void) => void },
  behave: Behave,
): Promise<UpstreamPool> {
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => behave(socket));
  });
  const address = await listen(server);
  const pool = createUpstreamPool({
    address,
    idField: 'x-id',
    clock: getMonotonicMs,
    pacer: createChunkPacer(),
  });
  context.after(() => {
    pool.close();
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  return pool;
}

function send(pool: UpstreamPool, body?: Uint8Array): Promise<UpstreamEnd> {
  return pool.send({ method: 'POST', path: '/', headers: [], body, id: 'c1' }).end;
}

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number };
      resolve(`127.0.0.1:${port}`);
    });
  });
}

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type IncomingMessage } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { it } from 'node:test';
import { createPausableRequest } from '../../CactusdealSharedBody.js';

const BODY_BYTES = 9_000_000;
/** A paused connection may still hand out what was read with the head. */
const MAX_READ_BYTES = 256 * 1024;

/** Turns of the event loop without a byte after which a connection counts as quiet. */
const QUIET_TURNS = 300;
const LIMITS = { timeout: 10_000 };

/** A pause that a scheduled resumption undoes lets a whole body arrive, which no budget counts. */
it('a request that is paused at its first bytes reads no further', LIMITS, async (context) => {
  let bytesRead = 0;
  let incoming: IncomingMessage | undefined;
  const server = createServer((request) => {
    incoming = request;
    const pausable = createPausableRequest(request);
    // Listening in the turn of the head schedules the resumption.
    request.on('data', () => pausable.pause());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  context.after(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  socket.on('error', () => {});
  const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
  socket.write(head);
  socket.write(Buffer.alloc(BODY_BYTES));
  await once(server, 'request');
  for (let quietTurns = 0; quietTurns < QUIET_TURNS; quietTurns += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const nowRead = incoming?.socket.bytesRead ?? 0;
    if (nowRead !== bytesRead) quietTurns = 0;
    bytesRead = nowRead;
  }
  assert.ok(bytesRead < MAX_READ_BYTES, `${bytesRead} bytes read`);
});

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type IncomingMessage } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { it } from 'node:test';
import { createPausableRequest } from '../../CactusdealSharedBody.js';

const BODY_BYTES = 9_000_000;
/** A paused connection may still hand out what was read with the head. */
const MAX_READ_BYTES = 256 * 1024;

/** A pause that a scheduled resumption undoes lets a paused body arrive in full, which no budget counts. */
it('a request that is paused at its first bytes, then again, reads no further', async (context) => {
  const server = createServer();
  const requests = once(server, 'request') as Promise<[IncomingMessage]>;
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
  socket.write(Buffer.concat([Buffer.from(head), Buffer.alloc(BODY_BYTES)]));
  const [request] = await requests;
  const pausable = createPausableRequest(request);
  request.on('data', () => pausable.pause());
  await once(request, 'data');
  pausable.resume();
  await once(request, 'data');
  // Loops while the connection reads on, up to its end.
  let readBytes = -1;
  while (readBytes !== request.socket.bytesRead) {
    readBytes = request.socket.bytesRead;
    for (let turn = 0; turn < 20; turn += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
  assert.ok(readBytes < MAX_READ_BYTES, `${readBytes} bytes read`);
});

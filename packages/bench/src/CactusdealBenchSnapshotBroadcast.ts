import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import type { Snapshot } from '@cactusdeal/schema';
import { startFaultProxy } from '@cactusdeal/testing';
import { encode } from 'cbor-x';

const ACKNOWLEDGEMENT = new Uint8Array(1);

/**
 * Measures the baseline: a hub sends the full snapshot to each receiver through a proxy that
 * represents the link between data centres. Returns the bytes, in both directions, that crossed the
 * proxy for one change.
 */
export async function measureSnapshotBroadcast(
  snapshot: Snapshot,
  receivers: number,
): Promise<number> {
  const encoded = encode(snapshot);
  const sockets = new Set<Socket>();
  const hub = createServer((socket) => {
    sockets.add(socket);
    socket.write(encoded);
  });
  hub.listen(0, '127.0.0.1');
  await once(hub, 'listening');
  const { port } = hub.address() as AddressInfo;
  const proxy = await startFaultProxy({ target: `127.0.0.1:${port}` });
  await Promise.all(
    Array.from({ length: receivers }, () => receiveSnapshot(proxy.address, encoded.length)),
  );
  const { forward, backward } = proxy.getByteCounts();
  sockets.forEach((socket) => socket.destroy());
  hub.close();
  await proxy.close();
  return forward + backward;
}

async function receiveSnapshot(address: string, length: number): Promise<void> {
  const port = Number(address.split(':')[1]);
  const socket = connect(port, '127.0.0.1');
  let received = 0;
  for await (const chunk of socket as AsyncIterable<Buffer>) {
    received += chunk.length;
    if (received >= length) break;
  }
  socket.end(ACKNOWLEDGEMENT);
}

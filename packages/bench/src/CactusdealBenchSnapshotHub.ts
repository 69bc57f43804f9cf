import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import type { Snapshot } from '@cactusdeal/schema';
import { startFaultProxy } from '@cactusdeal/testing';
import { encode } from 'cbor-x';

const ACKNOWLEDGEMENT = new Uint8Array(1);

/**
 * The baseline: a hub that sends the whole snapshot to each receiver, over one relay that stands for
 * the link between data centres. Answers the bytes that crossed the relay for one change.
 */
export async function measureSnapshotHub(snapshot: Snapshot, receivers: number): Promise<number> {
  const value = encode(snapshot);
  const sockets = new Set<Socket>();
  const hub = createServer((socket) => {
    sockets.add(socket);
    socket.write(value);
  });
  hub.listen(0, '127.0.0.1');
  await once(hub, 'listening');
  const { port } = hub.address() as AddressInfo;
  const relay = await startFaultProxy({ target: `127.0.0.1:${port}` });
  await Promise.all(
    Array.from({ length: receivers }, () => receiveSnapshot(relay.address, value.length)),
  );
  const { forward, backward } = relay.getByteCounts();
  sockets.forEach((socket) => socket.destroy());
  hub.close();
  await relay.close();
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

import { once } from 'node:events';
import net from 'node:net';

// The range ends below Linux's default range of ephemeral ports (32768 to 60999), so that no outgoing
// connection takes a port between its release here and its use.
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;
const MAX_TRIED_PORTS = 1000;

/**
 * Finds `count` distinct ports of 127.0.0.1 on which nothing listens. Returns fewer when 1000 random
 * ports did not yield enough.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: net.Server[] = [];
  for (let tries = 0; servers.length < count && tries < MAX_TRIED_PORTS; tries += 1) {
    const server = await tryListen(FIRST_PORT + Math.floor(Math.random() * PORT_COUNT));
    if (server !== undefined) servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
}

/** Listens on a port; undefined when it is taken. */
async function tryListen(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  server.listen(port, '127.0.0.1');
  return once(server, 'listening').then(
    () => server,
    () => undefined,
  );
}

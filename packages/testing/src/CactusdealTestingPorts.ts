import { once } from 'node:events';
import net from 'node:net';

// The range ends below Linux's default range of ephemeral ports (32768 to 60999), so that no outgoing
// connection takes a port between its release here and its use.
const FIRST_PORT = 10_000;
const SLICE_COUNT = 88;
/** Ports of a slice. The first one is held by the process that uses the others. */
const SLICE_PORTS = 250;
const MAX_TRIED_PORTS = 1000;

/** Ports of the slices of this process that it has not tried yet. */
const untriedPorts: number[] = [];

/**
 * Finds `count` distinct ports of 127.0.0.1 on which nothing listens, and which no other process or worker
 * thread that uses this function gets. Returns fewer when 1000 ports did not yield enough.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: net.Server[] = [];
  for (let tries = 0; servers.length < count && tries < MAX_TRIED_PORTS; tries += 1) {
    if (untriedPorts.length === 0) untriedPorts.push(...(await claimSlice()));
    const port = untriedPorts.shift();
    const server = port === undefined ? undefined : await tryListen(port);
    if (server !== undefined) servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
}

/**
 * Claims a slice until this process ends, by listening on its first port; returns the others. Test files run at the
 * same time, and a port that one of them has found is free until its daemon listens on it.
 */
async function claimSlice(): Promise<readonly number[]> {
  for (let index = 0; index < SLICE_COUNT; index += 1) {
    const slice = (process.pid + index) % SLICE_COUNT;
    const firstPort = FIRST_PORT + slice * SLICE_PORTS;
    const server = await tryListen(firstPort);
    if (server !== undefined) {
      server.unref();
      return Array.from({ length: SLICE_PORTS - 1 }, (_, offset) => firstPort + 1 + offset);
    }
  }
  return [];
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

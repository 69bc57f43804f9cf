import { createServer, type Socket } from 'node:net';
import { parseAddress, waitMs } from '@cactusdeal/shared';
import { openSocket } from '../CactusdealMeshConnection.js';
import { encodeFrame, readFrames } from '../CactusdealMeshFrame.js';

/**
 * Costs of the baseline: one central hub that sends each change to every daemon as a full snapshot.
 */
export interface HubResult {
  readonly snapshotBytes: number;
  readonly idleBytesPerSecond: number;
  readonly changeBytesPerSecond: number;
  /** From a change until the last daemon received it, largest of all changes. */
  readonly lastArrivalMs: number;
}

const HEARTBEAT_MS = 1000;
const CONNECT_MS = 5000;
const IDLE_MS = 3000;
const CHANGES = 5;
const MS_PER_SECOND = 1000;

interface Hub {
  readonly address: string;
  readonly sockets: Set<Socket>;
  getSentBytes(): number;
  send(value: unknown): void;
  close(): void;
}

/**
 * Measures a hub with `size` clients that sends one snapshot of `serviceCount` services a second.
 */
export async function measureHub(size: number, serviceCount: number): Promise<HubResult> {
  const hub = await openHub();
  let received = 0;
  const clients = await Promise.all(
    Array.from({ length: size }, () => openSocket(hub.address, CONNECT_MS)),
  );
  clients.forEach((client) => {
    void countSnapshots(client, () => {
      received += 1;
    });
  });
  const heartbeats = setInterval(() => hub.send({ type: 'heartbeat' }), HEARTBEAT_MS);
  const idleBytesPerSecond = await measureBytesPerSecond(hub, () => waitMs(IDLE_MS));
  const snapshot = createSnapshot(serviceCount);
  let lastArrivalMs = 0;
  const changeBytesPerSecond = await measureBytesPerSecond(hub, async () => {
    for (let change = 0; change < CHANGES; change += 1) {
      const startedAtMs = performance.now();
      const wanted = received + size;
      hub.send({ type: 'snapshot', snapshot });
      while (received < wanted) await waitMs(1);
      lastArrivalMs = Math.max(lastArrivalMs, performance.now() - startedAtMs);
      await waitMs(Math.max(0, MS_PER_SECOND - (performance.now() - startedAtMs)));
    }
  });
  clearInterval(heartbeats);
  clients.forEach((client) => client.destroy());
  hub.close();
  return {
    snapshotBytes: encodeFrame(snapshot).length,
    idleBytesPerSecond,
    changeBytesPerSecond,
    lastArrivalMs,
  };
}

async function openHub(): Promise<Hub> {
  const sockets = new Set<Socket>();
  let sentBytes = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
  });
  const { host, port } = parseAddress('127.0.0.1:0');
  await new Promise<void>((resolve) => {
    server.listen({ host, port }, resolve);
  });
  const bound = server.address();
  return {
    address: `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`,
    sockets,
    getSentBytes: () => sentBytes,
    send: (value) => {
      const frame = encodeFrame(value);
      sentBytes += frame.length * sockets.size;
      sockets.forEach((socket) => socket.write(frame));
    },
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

async function countSnapshots(socket: Socket, onSnapshot: () => void): Promise<void> {
  try {
    for await (const frame of readFrames(socket)) {
      if ((frame as { type: string }).type === 'snapshot') onSnapshot();
    }
  } catch {
    socket.destroy();
  }
}

async function measureBytesPerSecond(hub: Hub, run: () => Promise<void>): Promise<number> {
  const before = hub.getSentBytes();
  const startedAtMs = performance.now();
  await run();
  return ((hub.getSentBytes() - before) * MS_PER_SECOND) / (performance.now() - startedAtMs);
}

function createSnapshot(serviceCount: number): object {
  const services = Object.fromEntries(
    Array.from({ length: serviceCount }, (_, index) => [
      `service-${index}`,
      { tenant: 'oviedo', weights: { centre: 1, west: 2 }, queueLimit: 64 },
    ]),
  );
  return { version: 1, services, routes: {}, drains: {} };
}

import { connect, type Socket } from 'node:net';
import type { HelloMessage } from '@cactusdeal/schema';
import { FailureError, formatCaught, parseAddress } from '@cactusdeal/shared';
import { createMeshFailure, type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import { encodeFrame, readFrames } from './CactusdealMeshFrame.js';
import { type MeshMessage, parseMessage } from './CactusdealMeshMessages.js';

/** Most bytes that may wait for a peer to take them. */
const MAX_QUEUED_BYTES = 16 * 1024 * 1024;

/** Longest wait for a peer to close its side as well. */
const LINGER_MS = 1000;

/** Totals of what crossed connections, by direction; bytes with the frames' lengths. */
export interface TrafficTotals {
  readonly sentBytes: number;
  readonly sentFrames: number;
  readonly receivedBytes: number;
  readonly receivedFrames: number;
}

/** Adds up what crosses connections. */
export interface TrafficCounters {
  addSentFrame(bytes: number): void;
  addReceivedBytes(bytes: number): void;
  addReceivedFrame(): void;
  getTotals(): TrafficTotals;
}

/** A TCP connection whose frames are messages. */
export interface MeshConnection {
  /** Sends unless the connection is closed; a peer that takes frames too slowly is cut off. */
  send(message: MeshMessage): void;
  /** The next message, or undefined once the connection has ended. Throws FailureError. */
  receive(): Promise<MeshMessage | undefined>;
  /** Flushes what was sent, then closes. */
  close(): void;
  /** Closes at once. */
  destroy(): void;
  isClosed(): boolean;
  /** Counts from now on towards other totals. */
  useCounters(counters: TrafficCounters): void;
  readonly remoteAddress: string;
}

/** Opens a socket to an address; throws FailureError of kind PeerUnreachable. */
export type OpenSocket = (address: string, timeoutMs: number) => Promise<Socket>;

/** Creates counters that start at zero. */
export function createTrafficCounters(): TrafficCounters {
  const totals = { sentBytes: 0, sentFrames: 0, receivedBytes: 0, receivedFrames: 0 };
  return {
    addSentFrame: (bytes) => {
      totals.sentBytes += bytes;
      totals.sentFrames += 1;
    },
    addReceivedBytes: (bytes) => {
      totals.receivedBytes += bytes;
    },
    addReceivedFrame: () => {
      totals.receivedFrames += 1;
    },
    getTotals: () => ({ ...totals }),
  };
}

/** Creates a connection over a socket; the counters are raised as frames cross it. */
export function createConnection(socket: Socket, initial: TrafficCounters): MeshConnection {
  let counters = initial;
  socket.setNoDelay(true);
  socket.on('error', () => {});
  const frames = readFrames(countBytes(socket, (bytes) => counters.addReceivedBytes(bytes)));
  return {
    send: (message) => {
      if (!socket.writable) return;
      const frame = encodeFrame(message);
      counters.addSentFrame(frame.length);
      socket.write(frame);
      if (socket.writableLength > MAX_QUEUED_BYTES) socket.destroy();
    },
    receive: async () => {
      const next = await frames.next().catch((caught: unknown) => {
        socket.resume();
        return toUnreachable(caught);
      });
      if (next.done) return undefined;
      counters.addReceivedFrame();
      return parseMessage(next.value);
    },
    close: () => closeSocket(socket),
    destroy: () => socket.destroy(),
    isClosed: () => socket.destroyed || !socket.writable,
    useCounters: (next) => {
      counters = next;
    },
    remoteAddress: `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`,
  };
}

/**
 * Opens a socket to `address`, an IP number and a port.
 *
 * @throws FailureError of kind PeerUnreachable.
 */
export function openSocket(address: string, timeoutMs: number): Promise<Socket> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port });
    const timer = setTimeout(() => refuse(new RangeError('connect timed out')), timeoutMs);
    socket.once('error', refuse);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', refuse);
      resolve(socket);
    });

    function refuse(caught: unknown): void {
      clearTimeout(timer);
      socket.destroy();
      socket.on('error', () => {});
      const message = `${address}: ${formatCaught(caught)}`;
      reject(new FailureError(createMeshFailure(MeshFailureKind.Unreachable, message)));
    }
  });
}

/**
 * Waits for the peer's hello.
 *
 * @throws FailureError: a refusal's kind, HandshakeTimeout, or what `receive` throws.
 */
export async function receiveHello(
  connection: MeshConnection,
  timeoutMs: number,
): Promise<HelloMessage> {
  let isLate = false;
  const timer = setTimeout(() => {
    isLate = true;
    connection.destroy();
  }, timeoutMs);
  const message = await connection.receive().finally(() => clearTimeout(timer));
  if (message?.type === 'hello') return message;
  throw new FailureError(explainMissingHello(message, isLate));
}

function explainMissingHello(message: MeshMessage | undefined, isLate: boolean): MeshFailure {
  if (isLate) return createMeshFailure(MeshFailureKind.HandshakeTimeout, 'no hello in time');
  if (message === undefined) {
    return createMeshFailure(MeshFailureKind.Unreachable, 'closed before the hello');
  }
  if (message.type === 'refusal') {
    return createMeshFailure(message.kind as MeshFailureKind, message.message, message.contacts);
  }
  return createMeshFailure(MeshFailureKind.MessageUnknown, `${message.type} before the hello`);
}

/** Sends the end and waits a bounded time for the peer's, so that no reset overtakes the data. */
function closeSocket(socket: Socket): void {
  if (socket.destroyed) return;
  socket.end();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
  socket.once('close', () => clearTimeout(timer));
}

function toUnreachable(caught: unknown): never {
  if (caught instanceof FailureError) throw caught;
  throw new FailureError(createMeshFailure(MeshFailureKind.Unreachable, formatCaught(caught)));
}

async function* countBytes(
  socket: Socket,
  record: (bytes: number) => void,
): AsyncGenerator<Buffer, void, undefined> {
  // A broken frame must not destroy the socket before the refusal is sent.
  for await (const chunk of socket.iterator({ destroyOnReturn: false })) {
    record((chunk as Buffer).length);
    yield chunk as Buffer;
  }
}

import { connect, type Socket } from 'node:net';
import type { HelloMessage } from '@cactusdeal/schema';
import { FailureError, formatError, isSocketAddress, parseAddress } from '@cactusdeal/shared';
import { createMeshFailure, type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import { encodeFrame, readFrames } from './CactusdealMeshFrame.js';
import { type MeshMessage, parseMessage } from './CactusdealMeshMessages.js';

/** Bytes that may wait to be sent to a peer; beyond them its connection is destroyed. */
const MAX_SEND_BUFFER_BYTES = 16 * 1024 * 1024;

/** Longest wait for the peer to close the connection after this side has ended the stream. */
const LINGER_MS = 1000;

/** Totals of traffic by direction; bytes include the length prefixes of the frames. */
export interface TrafficTotals {
  readonly sentBytes: number;
  readonly sentFrames: number;
  readonly receivedBytes: number;
  readonly receivedFrames: number;
}

/** Counts the traffic of one or more connections. */
export interface TrafficCounters {
  addSentFrame(bytes: number): void;
  addReceivedBytes(bytes: number): void;
  addReceivedFrame(): void;
  getTotals(): TrafficTotals;
}

/** A TCP connection that carries mesh messages as frames. */
export interface MeshConnection {
  /** Sends unless the connection is closed; destroys it when the peer reads too slowly. */
  send(message: MeshMessage): void;
  /** Returns the next message, undefined once the connection has ended. Throws FailureError. */
  receive(): Promise<MeshMessage | undefined>;
  /** Sends what is queued, then closes. */
  close(): void;
  /** Closes at once. */
  destroy(): void;
  isClosed(): boolean;
  /** Switches to other counters for all further traffic. */
  useCounters(counters: TrafficCounters): void;
  readonly remoteAddress: string;
}

/** Opens a socket to an address; rejects with FailureError of kind PeerUnreachable. */
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

/** Creates a connection over a socket, with the counters of its traffic. */
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
      if (socket.writableLength > MAX_SEND_BUFFER_BYTES) socket.destroy();
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
 * Opens a socket to `address`, an IP address with a port.
 *
 * @throws FailureError of kind PeerUnreachable.
 */
export async function openSocket(address: string, timeoutMs: number): Promise<Socket> {
  if (!isSocketAddress(address)) {
    const message = `cannot connect to ${address}: not an IP address with a port`;
    throw new FailureError(createMeshFailure(MeshFailureKind.Unreachable, message));
  }
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port });
    const timer = setTimeout(
      () => refuse(new RangeError(`connect timed out after ${timeoutMs} ms`)),
      timeoutMs,
    );
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
      const message = `cannot connect to ${address}: ${formatError(caught)}`;
      reject(new FailureError(createMeshFailure(MeshFailureKind.Unreachable, message)));
    }
  });
}

/**
 * Waits for the peer's hello.
 *
 * @throws FailureError with the kind of the peer's refusal, of kind HandshakeTimeout,
 * PeerUnreachable or MessageUnknown, or as `receive` throws it.
 */
export async function receiveHello(
  connection: MeshConnection,
  timeoutMs: number,
): Promise<HelloMessage> {
  let isTimedOut = false;
  const timer = setTimeout(() => {
    isTimedOut = true;
    connection.destroy();
  }, timeoutMs);
  const message = await connection.receive().finally(() => clearTimeout(timer));
  if (message?.type === 'hello') return message;
  throw new FailureError(explainMissingHello(message, isTimedOut));
}

function explainMissingHello(message: MeshMessage | undefined, isTimedOut: boolean): MeshFailure {
  if (isTimedOut) return createMeshFailure(MeshFailureKind.HandshakeTimeout, 'hello timed out');
  if (message === undefined) {
    return createMeshFailure(
      MeshFailureKind.Unreachable,
      'peer closed the connection before its hello',
    );
  }
  if (message.type === 'refusal') {
    return createMeshFailure(message.kind as MeshFailureKind, message.message, message.contacts);
  }
  return createMeshFailure(
    MeshFailureKind.MessageUnknown,
    `first message has type ${message.type}, not hello`,
  );
}

/**
 * Ends the stream and waits a bounded time for the peer to do the same. Destroying the socket at
 * once could send a reset, which discards data that the peer has not read yet.
 */
function closeSocket(socket: Socket): void {
  if (socket.destroyed) return;
  socket.end();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
  socket.once('close', () => clearTimeout(timer));
}

function toUnreachable(caught: unknown): never {
  if (caught instanceof FailureError) throw caught;
  throw new FailureError(createMeshFailure(MeshFailureKind.Unreachable, formatError(caught)));
}

async function* countBytes(
  socket: Socket,
  record: (bytes: number) => void,
): AsyncGenerator<Buffer, void, undefined> {
  // After a malformed frame the socket must stay open until the refusal is sent.
  for await (const chunk of socket.iterator({ destroyOnReturn: false })) {
    record((chunk as Buffer).length);
    yield chunk as Buffer;
  }
}

import { once } from 'node:events';
import net from 'node:net';
import { createPipe, type Pipe, type PipeFaults } from './CactusdealTestingPipe.js';

/** Direction of bytes through a fault proxy, as seen by the connecting client. */
export const FaultDirection = {
  /** From the client to the target. */
  Forward: 'forward',
  /** From the target to the client. */
  Backward: 'backward',
  Both: 'both',
} as const;
export type FaultDirection = (typeof FaultDirection)[keyof typeof FaultDirection];

/** Bytes that the proxy received in each direction since its start, dropped ones included. */
export interface ByteCounts {
  readonly forward: number;
  readonly backward: number;
}

/**
 * A TCP proxy on 127.0.0.1 that injects faults on demand. Its only timers are those that delay bytes.
 */
export interface FaultProxy {
  readonly address: string;
  /** Delays every byte that arrives from now on by this many milliseconds, in each direction. */
  setDelay(oneWayMs: number): void;
  /** Holds the bytes of a direction back, on open and new connections, until `heal` sends them on. */
  stall(direction: FaultDirection): void;
  /**
   * With one direction, drops its bytes on open and new connections until `heal`. With both, resets
   * open connections at once and new ones as they are accepted, until `heal`.
   */
  cut(direction: FaultDirection): void;
  /**
   * Keeps the connections that are open now open but carries no more bytes on them, until `heal`
   * resets them. New connections work.
   */
  silenceOpenConnections(): void;
  /** Resets every connection that is open now. New connections work. */
  resetOpenConnections(): void;
  /** Removes every fault except the delay, and resets connections that lost bytes or went silent. */
  heal(): void;
  getByteCounts(): ByteCounts;
  getOpenConnectionCount(): number;
  /** Connections accepted since the start. */
  getAcceptedConnectionCount(): number;
  /** Listens again after `stopsWithTarget` has stopped the proxy. */
  startListening(): Promise<void>;
  close(): Promise<void>;
}

/** A relayed connection: its two sockets and the pipe of each direction. */
interface Connection {
  readonly clientSocket: net.Socket;
  readonly targetSocket: net.Socket;
  readonly forward: Pipe;
  readonly backward: Pipe;
}

interface ProxyState {
  readonly target: string;
  readonly stopsWithTarget: boolean;
  readonly connections: Set<Connection>;
  readonly faults: Readonly<Record<'forward' | 'backward', PipeFaults>>;
  /** Both directions are cut: new connections are reset as they are accepted. */
  isRefusingConnections: boolean;
  acceptedCount: number;
}

/** Starts a proxy to `target`, an IP address and port. It listens on a free port of 127.0.0.1. */
export async function startFaultProxy(options: {
  readonly target: string;
  /**
   * Stops listening when the target does, so that clients of an exited target get a refused
   * connection, as they would without the proxy.
   */
  readonly stopsWithTarget?: boolean;
}): Promise<FaultProxy> {
  const state: ProxyState = {
    target: options.target,
    stopsWithTarget: options.stopsWithTarget ?? false,
    connections: new Set(),
    faults: { forward: createPipeFaults(), backward: createPipeFaults() },
    isRefusingConnections: false,
    acceptedCount: 0,
  };
  const server = net.createServer({ allowHalfOpen: true }, (clientSocket) =>
    acceptConnection(state, clientSocket, server),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  return buildProxy(state, server, `127.0.0.1:${port}`);
}

function createPipeFaults(): PipeFaults {
  return { delayMs: 0, isStalled: false, isDropping: false, byteCount: 0 };
}

function acceptConnection(state: ProxyState, clientSocket: net.Socket, server: net.Server): void {
  Object.assign(state, { acceptedCount: state.acceptedCount + 1 });
  if (state.isRefusingConnections || !server.listening) {
    clientSocket.resetAndDestroy();
    return;
  }
  const [host, port] = state.target.split(':');
  const targetSocket = net.connect({
    host,
    port: Number(port),
    allowHalfOpen: true,
    noDelay: true,
  });
  clientSocket.setNoDelay(true);
  const connection: Connection = {
    clientSocket,
    targetSocket,
    forward: createPipe(clientSocket, targetSocket, state.faults.forward),
    backward: createPipe(targetSocket, clientSocket, state.faults.backward, () =>
      stopListeningIfTargetClosed(state, server),
    ),
  };
  state.connections.add(connection);
  [clientSocket, targetSocket].forEach((socket) => {
    socket.on('error', () => {
      stopListeningIfTargetClosed(state, server).then(() => closeConnection(state, connection));
    });
    socket.on('close', () => removeClosedConnection(state, connection));
  });
}

/** Stops listening when the target no longer accepts connections, if the proxy stops with it. */
async function stopListeningIfTargetClosed(state: ProxyState, server: net.Server): Promise<void> {
  if (!state.stopsWithTarget || !server.listening) return;
  const [host, port] = state.target.split(':');
  const probe = net.connect({ host, port: Number(port) });
  const isOpen = await once(probe, 'connect').then(
    () => true,
    () => false,
  );
  probe.destroy();
  if (!isOpen) server.close();
}

/** Removes a connection from the open ones when both its sockets are closed. */
function removeClosedConnection(state: ProxyState, connection: Connection): void {
  if (connection.clientSocket.closed && connection.targetSocket.closed)
    state.connections.delete(connection);
}

/** Drops the bytes that are still queued and resets both sockets. */
function closeConnection(state: ProxyState, connection: Connection): void {
  connection.forward.close();
  connection.backward.close();
  connection.clientSocket.resetAndDestroy();
  connection.targetSocket.resetAndDestroy();
  state.connections.delete(connection);
}

function buildProxy(state: ProxyState, server: net.Server, address: string): FaultProxy {
  const { faults } = state;
  const resetOpenConnections = (): void => {
    [...state.connections].forEach((connection) => closeConnection(state, connection));
  };
  return {
    address,
    setDelay: (oneWayMs) => {
      faults.forward.delayMs = oneWayMs;
      faults.backward.delayMs = oneWayMs;
    },
    stall: (direction) => {
      listPipeFaults(state, direction).forEach((item) => Object.assign(item, { isStalled: true }));
    },
    cut: (direction) => {
      if (direction === FaultDirection.Both) {
        Object.assign(state, { isRefusingConnections: true });
        resetOpenConnections();
        return;
      }
      listPipeFaults(state, direction).forEach((item) => Object.assign(item, { isDropping: true }));
    },
    silenceOpenConnections: () => {
      state.connections.forEach(({ forward, backward }) => {
        forward.silence();
        backward.silence();
      });
    },
    resetOpenConnections,
    heal: () => removeFaults(state),
    getByteCounts: () => ({
      forward: faults.forward.byteCount,
      backward: faults.backward.byteCount,
    }),
    getOpenConnectionCount: () => state.connections.size,
    getAcceptedConnectionCount: () => state.acceptedCount,
    startListening: async () => {
      if (server.listening) return;
      server.listen(Number(address.split(':')[1]), '127.0.0.1');
      await once(server, 'listening');
    },
    close: async () => {
      const isListening = server.listening;
      server.close();
      resetOpenConnections();
      if (isListening) await once(server, 'close');
    },
  };
}

function listPipeFaults(state: ProxyState, direction: FaultDirection): PipeFaults[] {
  const { forward, backward } = state.faults;
  if (direction === FaultDirection.Both) return [forward, backward];
  return [state.faults[direction]];
}

/** Ends all faults but the delay; forwards what stalls held back and resets incomplete streams. */
function removeFaults(state: ProxyState): void {
  Object.assign(state, { isRefusingConnections: false });
  listPipeFaults(state, FaultDirection.Both).forEach((item) =>
    Object.assign(item, { isStalled: false, isDropping: false }),
  );
  [...state.connections].forEach((connection) => {
    const { forward, backward } = connection;
    if (forward.hasLostBytes() || backward.hasLostBytes()) closeConnection(state, connection);
    else [forward, backward].forEach((pipe) => pipe.flush());
  });
}

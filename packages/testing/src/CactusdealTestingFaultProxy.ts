import { once } from 'node:events';
import net from 'node:net';
import { createPipe, type Pipe, type PipeFaults } from './CactusdealTestingPipe.js';

/** Direction of bytes through a fault proxy, seen from the side that connects. */
export const FaultDirection = {
  /** From the connecting side to the target. */
  Forward: 'forward',
  /** From the target to the connecting side. */
  Backward: 'backward',
  Both: 'both',
} as const;
export type FaultDirection = (typeof FaultDirection)[keyof typeof FaultDirection];

/** Bytes that arrived at the proxy since its start, in each direction. */
export interface ByteCounts {
  readonly forward: number;
  readonly backward: number;
}

/** A TCP relay on 127.0.0.1 whose faults the test commands. It keeps no timer but the delay line. */
export interface FaultProxy {
  readonly address: string;
  /** Delays every byte by this many milliseconds in each direction. */
  setDelay(oneWayMs: number): void;
  /** Holds bytes of the direction back, on open and on new connections, until `heal`. */
  stall(direction: FaultDirection): void;
  /**
   * One direction: its bytes are lost, on open and on new connections, until `heal`.
   * Both: open connections are reset and new ones are reset at once, until `heal`.
   */
  cut(direction: FaultDirection): void;
  /** Connections open now stay open and carry nothing ever again; new ones work. */
  goSilent(): void;
  /** Resets every open connection; new ones work. */
  resetAll(): void;
  /** Ends every fault but the delay. Connections that lost bytes or went silent stay lost. */
  heal(): void;
  getByteCounts(): ByteCounts;
  getOpenConnections(): number;
  /** Connections accepted since the start. */
  getAcceptedConnections(): number;
  /** Listens again after a mirrored target had stopped. */
  startListening(): Promise<void>;
  close(): Promise<void>;
}

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
  isRefusingConnections: boolean;
  acceptedCount: number;
}

/** Starts a relay to `target`, an IP number and port; it listens on a free port of 127.0.0.1. */
export async function startFaultProxy(options: {
  readonly target: string;
  /** Stops listening when the target does, so that a dead target refuses connections as it would. */
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

/** Stops listening when the target no longer does. */
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

/** Forgets a connection once both its sockets are closed. */
function removeClosedConnection(state: ProxyState, connection: Connection): void {
  if (connection.clientSocket.closed && connection.targetSocket.closed)
    state.connections.delete(connection);
}

function closeConnection(state: ProxyState, connection: Connection): void {
  connection.forward.close();
  connection.backward.close();
  connection.clientSocket.resetAndDestroy();
  connection.targetSocket.resetAndDestroy();
  state.connections.delete(connection);
}

function buildProxy(state: ProxyState, server: net.Server, address: string): FaultProxy {
  const { faults } = state;
  const resetAll = (): void => {
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
        resetAll();
        return;
      }
      listPipeFaults(state, direction).forEach((item) => Object.assign(item, { isDropping: true }));
    },
    goSilent: () => {
      state.connections.forEach(({ forward, backward }) => {
        forward.silence();
        backward.silence();
      });
    },
    resetAll,
    heal: () => removeFaults(state),
    getByteCounts: () => ({
      forward: faults.forward.byteCount,
      backward: faults.backward.byteCount,
    }),
    getOpenConnections: () => state.connections.size,
    getAcceptedConnections: () => state.acceptedCount,
    startListening: async () => {
      if (server.listening) return;
      server.listen(Number(address.split(':')[1]), '127.0.0.1');
      await once(server, 'listening');
    },
    close: async () => {
      const isListening = server.listening;
      server.close();
      resetAll();
      if (isListening) await once(server, 'close');
    },
  };
}

function listPipeFaults(state: ProxyState, direction: FaultDirection): PipeFaults[] {
  const { forward, backward } = state.faults;
  if (direction === FaultDirection.Both) return [forward, backward];
  return [state.faults[direction]];
}

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

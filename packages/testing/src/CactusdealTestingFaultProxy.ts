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
  readonly near: net.Socket;
  readonly far: net.Socket;
  readonly forward: Pipe;
  readonly backward: Pipe;
}

interface ProxyState {
  readonly target: string;
  readonly isMirroring: boolean;
  readonly connections: Set<Connection>;
  readonly faults: Readonly<Record<'forward' | 'backward', PipeFaults>>;
  isCut: boolean;
  accepted: number;
}

/** Starts a relay to `target`, an IP number and port; it listens on a free port of 127.0.0.1. */
export async function startFaultProxy(options: {
  readonly target: string;
  /** Stops listening when the target does, so that a dead target refuses connections as it would. */
  readonly isMirroring?: boolean;
}): Promise<FaultProxy> {
  const state: ProxyState = {
    target: options.target,
    isMirroring: options.isMirroring ?? false,
    connections: new Set(),
    faults: { forward: createFaults(), backward: createFaults() },
    isCut: false,
    accepted: 0,
  };
  const server = net.createServer({ allowHalfOpen: true }, (near) =>
    acceptConnection(state, near, server),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  return buildProxy(state, server, `127.0.0.1:${port}`);
}

function createFaults(): PipeFaults {
  return { delayMs: 0, isStalled: false, isCut: false, bytes: 0 };
}

function acceptConnection(state: ProxyState, near: net.Socket, server: net.Server): void {
  Object.assign(state, { accepted: state.accepted + 1 });
  if (state.isCut || !server.listening) {
    near.resetAndDestroy();
    return;
  }
  const [host, port] = state.target.split(':');
  const far = net.connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
  near.setNoDelay(true);
  const connection: Connection = {
    near,
    far,
    forward: createPipe(near, far, state.faults.forward),
    backward: createPipe(far, near, state.faults.backward, () => checkTarget(state, server)),
  };
  state.connections.add(connection);
  [near, far].forEach((socket) => {
    socket.on('error', () => {
      checkTarget(state, server).then(() => closeConnection(state, connection));
    });
    socket.on('close', () => finishConnection(state, connection));
  });
}

/** Stops listening when the target no longer does. */
async function checkTarget(state: ProxyState, server: net.Server): Promise<void> {
  if (!state.isMirroring || !server.listening) return;
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
function finishConnection(state: ProxyState, connection: Connection): void {
  if (connection.near.closed && connection.far.closed) state.connections.delete(connection);
}

function closeConnection(state: ProxyState, connection: Connection): void {
  connection.forward.close();
  connection.backward.close();
  connection.near.resetAndDestroy();
  connection.far.resetAndDestroy();
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
      listFaults(state, direction).forEach((item) => Object.assign(item, { isStalled: true }));
    },
    cut: (direction) => {
      if (direction === FaultDirection.Both) {
        Object.assign(state, { isCut: true });
        resetAll();
        return;
      }
      listFaults(state, direction).forEach((item) => Object.assign(item, { isCut: true }));
    },
    goSilent: () => {
      state.connections.forEach(({ forward, backward }) => {
        forward.goSilent();
        backward.goSilent();
      });
    },
    resetAll,
    heal: () => removeFaults(state),
    getByteCounts: () => ({ forward: faults.forward.bytes, backward: faults.backward.bytes }),
    getOpenConnections: () => state.connections.size,
    getAcceptedConnections: () => state.accepted,
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

function listFaults(state: ProxyState, direction: FaultDirection): PipeFaults[] {
  const { forward, backward } = state.faults;
  if (direction === FaultDirection.Both) return [forward, backward];
  return [state.faults[direction]];
}

function removeFaults(state: ProxyState): void {
  Object.assign(state, { isCut: false });
  listFaults(state, FaultDirection.Both).forEach((item) =>
    Object.assign(item, { isStalled: false, isCut: false }),
  );
  [...state.connections].forEach((connection) => {
    const { forward, backward } = connection;
    if (forward.hasLostBytes() || backward.hasLostBytes()) closeConnection(state, connection);
    else [forward, backward].forEach((pipe) => pipe.flush());
  });
}

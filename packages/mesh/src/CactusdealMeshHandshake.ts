import type { Socket } from 'node:net';
import { setImmediate as waitForTurn } from 'node:timers/promises';
import type { HelloMessage, MemberRecord } from '@cactusdeal/schema';
import { FailureError, formatError } from '@cactusdeal/shared';
import {
  createConnection,
  type MeshConnection,
  type OpenSocket,
  receiveHello,
  type TrafficCounters,
} from './CactusdealMeshConnection.js';
import { createMeshFailure, type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import { PROTOCOL_VERSION } from './CactusdealMeshMessages.js';

/** Purpose of a connection, as the dialer states it in its hello. */
export type Purpose = HelloMessage['purpose'];

/** An open connection and the hello of its peer. */
export interface IdentifiedConnection {
  readonly connection: MeshConnection;
  readonly hello: HelloMessage;
}

/** Handshake on the connections that one daemon opens or accepts. */
export interface Handshake {
  createHello(purpose: Purpose): HelloMessage;
  /**
   * Connects and exchanges hellos, each within `timeoutMs`.
   *
   * @throws FailureError with a MeshFailure.
   */
  dial(
    address: string,
    purpose: Purpose,
    dataCentre: string,
    timeoutMs?: number,
  ): Promise<IdentifiedConnection>;
  /**
   * Receives and checks the hello on a socket that a peer opened; the calling code sends the own
   * hello.
   *
   * @throws FailureError with a MeshFailure, after a refusal was sent to the peer.
   */
  admit(socket: Socket): Promise<IdentifiedConnection>;
  /** Destroys every connection that this daemon dialled. */
  destroyDialled(): void;
}

/** Identity of this daemon, and settings of the handshake. */
export interface HandshakeOptions {
  readonly cluster: string;
  readonly getSelf: () => MemberRecord;
  /** Timeout of a connection attempt and of the wait for its hello, unless the dialer sets another. */
  readonly timeoutMs: number;
  /** Timeout of the hello on an accepted connection; not below that of any dialer. */
  readonly admitTimeoutMs: number;
  readonly openSocket: OpenSocket;
  /** Aborted when this daemon stops; no connection is opened after that. */
  readonly signal: AbortSignal;
  readonly counters: Readonly<Record<'local' | 'remote', TrafficCounters>>;
}

/** Creates the handshake of one daemon. */
export function createHandshake(options: HandshakeOptions): Handshake {
  const dialled = new Set<Socket>();

  function createHello(purpose: Purpose): HelloMessage {
    const { id, dataCentre, incarnation, meshAddress } = options.getSelf();
    const { cluster } = options;
    const protocol = PROTOCOL_VERSION;
    return { type: 'hello', protocol, cluster, dataCentre, id, incarnation, meshAddress, purpose };
  }

  function selectCounters(purpose: Purpose): TrafficCounters {
    return options.counters[purpose === 'link' ? 'remote' : 'local'];
  }

  return {
    createHello,
    dial: async (address, purpose, dataCentre, timeoutMs = options.timeoutMs) => {
      const socket = await openUnlessStopped(options, address, timeoutMs);
      dialled.add(socket);
      socket.once('close', () => dialled.delete(socket));
      const connection = createConnection(socket, selectCounters(purpose));
      connection.send(createHello(purpose));
      try {
        const hello = await receiveHello(connection, timeoutMs);
        checkHello(options, hello, dataCentre);
        return { connection, hello };
      } catch (caught) {
        connection.destroy();
        throw caught;
      }
    },
    admit: async (socket) => {
      const connection = createConnection(socket, options.counters.local);
      try {
        const hello = await receiveHello(connection, options.admitTimeoutMs);
        connection.useCounters(selectCounters(hello.purpose));
        await checkOpen(connection, hello);
        checkHello(options, hello, undefined);
        return { connection, hello };
      } catch (caught) {
        refuseConnection(connection, toMeshFailure(caught));
        throw caught;
      }
    },
    destroyDialled: () => dialled.forEach((socket) => socket.destroy()),
  };
}

/** Opens a socket; rejects when the daemon stops before the socket is open. */
async function openUnlessStopped(
  { signal, openSocket }: HandshakeOptions,
  address: string,
  timeoutMs: number,
): Promise<Socket> {
  const socket = signal.aborted ? undefined : await openSocket(address, timeoutMs);
  if (socket !== undefined && !signal.aborted) return socket;
  socket?.destroy();
  throw new FailureError(
    createMeshFailure(
      MeshFailureKind.Unreachable,
      `not connecting to ${address}: this daemon is stopping`,
    ),
  );
}

/** Sends the peer a refusal with the failure and closes the connection. */
export function refuseConnection(connection: MeshConnection, failure: MeshFailure): void {
  const { kind, message, contacts = [] } = failure;
  connection.send({
    type: 'refusal',
    kind,
    message: message.slice(0, 200),
    contacts: [...contacts],
  });
  connection.close();
}

/**
 * Converts a caught error to a mesh failure; errors other than FailureError become HandlerDefect.
 */
export function toMeshFailure(caught: unknown): MeshFailure {
  if (caught instanceof FailureError) return caught.failure as MeshFailure;
  return createMeshFailure(MeshFailureKind.Defect, formatError(caught));
}

/**
 * The dialer may have given up while its connection waited to be accepted; the end of the connection
 * is then read in the turn of the event loop that follows the one of the hello.
 */
async function checkOpen(connection: MeshConnection, { id }: HelloMessage): Promise<void> {
  await waitForTurn();
  await waitForTurn();
  if (!connection.isClosed()) return;
  throw new FailureError(
    createMeshFailure(MeshFailureKind.Unreachable, `${id} closed the connection after its hello`),
  );
}

function checkHello(
  options: HandshakeOptions,
  hello: HelloMessage,
  expectedDataCentre: string | undefined,
): void {
  const failure = findMismatch(options, hello, expectedDataCentre);
  if (failure !== undefined) throw new FailureError(failure);
}

function findMismatch(
  options: HandshakeOptions,
  hello: HelloMessage,
  expectedDataCentre: string | undefined,
): MeshFailure | undefined {
  const self = options.getSelf();
  if (hello.protocol !== PROTOCOL_VERSION) {
    const message = `${hello.id} speaks protocol ${hello.protocol}, required is ${PROTOCOL_VERSION}`;
    return createMeshFailure(MeshFailureKind.ProtocolMismatch, message);
  }
  if (hello.cluster !== options.cluster) {
    const message = `${hello.id} is of cluster ${hello.cluster}, this daemon of ${options.cluster}`;
    return createMeshFailure(MeshFailureKind.ClusterMismatch, message);
  }
  if (!isExpectedDataCentre(hello, self.dataCentre, expectedDataCentre)) {
    const message = `${hello.id} is in ${hello.dataCentre}, not allowed on a ${hello.purpose} connection with ${self.dataCentre}`;
    return createMeshFailure(MeshFailureKind.DataCentreMismatch, message);
  }
  if (hello.id === self.id) {
    return createMeshFailure(
      MeshFailureKind.IdentityConflict,
      `${hello.id} is the id of this daemon as well`,
    );
  }
  return undefined;
}

/** Unless one is expected, links must come from another data centre, all else from the own one. */
function isExpectedDataCentre(
  hello: HelloMessage,
  own: string,
  expected: string | undefined,
): boolean {
  if (expected !== undefined) return hello.dataCentre === expected;
  return (hello.purpose === 'link') === (hello.dataCentre !== own);
}

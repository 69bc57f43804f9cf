import type { Socket } from 'node:net';
import type { HelloMessage, MemberRecord } from '@cactusdeal/schema';
import { FailureError, formatCaught } from '@cactusdeal/shared';
import {
  createConnection,
  type MeshConnection,
  type OpenSocket,
  receiveHello,
  type TrafficCounters,
} from './CactusdealMeshConnection.js';
import { createMeshFailure, type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import { PROTOCOL_VERSION } from './CactusdealMeshMessages.js';

/** What a connection is opened for. */
export type Purpose = HelloMessage['purpose'];

/** An open connection and how its peer identified itself. */
export interface IdentifiedConnection {
  readonly connection: MeshConnection;
  readonly hello: HelloMessage;
}

/** Opens and accepts connections of one daemon. */
export interface Handshake {
  createHello(purpose: Purpose): HelloMessage;
  /**
   * Connects and exchanges hellos.
   *
   * @throws FailureError with a MeshFailure.
   */
  dial(address: string, purpose: Purpose, dataCentre: string): Promise<IdentifiedConnection>;
  /**
   * Waits for the hello of a socket that a peer opened, and checks it; the answer is the caller's.
   *
   * @throws FailureError with a MeshFailure, after the peer was told.
   */
  admit(socket: Socket): Promise<IdentifiedConnection>;
  /** Destroys every connection that this daemon dialled. */
  destroyDialled(): void;
}

/** Who this daemon is, and how long it waits. */
export interface HandshakeOptions {
  readonly cluster: string;
  readonly getSelf: () => MemberRecord;
  readonly timeoutMs: number;
  readonly openSocket: OpenSocket;
  /** Aborted when this daemon stops; nothing is dialled after that. */
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
    dial: async (address, purpose, dataCentre) => {
      const socket = await openWhileRunning(options, address);
      dialled.add(socket);
      socket.once('close', () => dialled.delete(socket));
      const connection = createConnection(socket, selectCounters(purpose));
      connection.send(createHello(purpose));
      try {
        const hello = await receiveHello(connection, options.timeoutMs);
        refuseMismatch(options, hello, dataCentre);
        return { connection, hello };
      } catch (caught) {
        connection.destroy();
        throw caught;
      }
    },
    admit: async (socket) => {
      const connection = createConnection(socket, options.counters.local);
      try {
        const hello = await receiveHello(connection, options.timeoutMs);
        connection.useCounters(selectCounters(hello.purpose));
        refuseMismatch(options, hello, undefined);
        return { connection, hello };
      } catch (caught) {
        refuseConnection(connection, toMeshFailure(caught));
        throw caught;
      }
    },
    destroyDialled: () => dialled.forEach((socket) => socket.destroy()),
  };
}

async function openWhileRunning(options: HandshakeOptions, address: string): Promise<Socket> {
  const { signal } = options;
  const socket = signal.aborted ? undefined : await options.openSocket(address, options.timeoutMs);
  if (socket !== undefined && !signal.aborted) return socket;
  socket?.destroy();
  throw new FailureError(createMeshFailure(MeshFailureKind.Unreachable, 'this daemon stops'));
}

/** Tells the peer why its connection is not kept, and closes it. */
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

/** Takes the mesh failure out of what was caught; anything else is a defect of a handler. */
export function toMeshFailure(caught: unknown): MeshFailure {
  if (caught instanceof FailureError) return caught.failure as MeshFailure;
  return createMeshFailure(MeshFailureKind.Defect, formatCaught(caught));
}

function refuseMismatch(
  options: HandshakeOptions,
  hello: HelloMessage,
  wantedDataCentre: string | undefined,
): void {
  const failure = findMismatch(options, hello, wantedDataCentre);
  if (failure !== undefined) throw new FailureError(failure);
}

function findMismatch(
  options: HandshakeOptions,
  hello: HelloMessage,
  wantedDataCentre: string | undefined,
): MeshFailure | undefined {
  const self = options.getSelf();
  if (hello.protocol !== PROTOCOL_VERSION) {
    const message = `protocol ${hello.protocol}, ${PROTOCOL_VERSION} spoken here`;
    return createMeshFailure(MeshFailureKind.ProtocolMismatch, message);
  }
  if (hello.cluster !== options.cluster) {
    const message = `cluster ${hello.cluster}, this is ${options.cluster}`;
    return createMeshFailure(MeshFailureKind.ClusterMismatch, message);
  }
  if (!isRightDataCentre(hello, self.dataCentre, wantedDataCentre)) {
    const message = `data centre ${hello.dataCentre} on a ${hello.purpose} connection of ${self.dataCentre}`;
    return createMeshFailure(MeshFailureKind.DataCentreMismatch, message);
  }
  if (hello.id === self.id) {
    return createMeshFailure(MeshFailureKind.IdentityConflict, `${hello.id} is this daemon`);
  }
  return undefined;
}

function isRightDataCentre(hello: HelloMessage, own: string, wanted: string | undefined): boolean {
  if (wanted !== undefined) return hello.dataCentre === wanted;
  return (hello.purpose === 'link') === (hello.dataCentre !== own);
}

import { type Log, type Random, pickRandom, getMonotonicMs } from '@cactusdeal/shared';
import { createMeshFailure, type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import {
  type Handshake,
  type Introduced,
  type Purpose,
  refuseConnection,
  toMeshFailure,
} from './CactusdealMeshHandshake.js';
import type { MemberTable } from './CactusdealMeshMembers.js';
import type { Peer } from './CactusdealMeshPeer.js';
import type { RateLimit } from './CactusdealMeshRateLimit.js';
import type { Router } from './CactusdealMeshRouter.js';

/**
 * The active view: a bounded number of neighbours, each with one connection and one task (HyParView,
 * Leitão et al. 2007). The passive view is the member table, which every daemon holds whole.
 */
export interface Overlay {
  listPeers(): Iterable<Peer>;
  getPeer(id: string): Peer | undefined;
  getDegree(): number;
  /** Seeks a connection; a failure is returned, undefined means that it stands. */
  connect(address: string, purpose: Purpose): Promise<MeshFailure | undefined>;
  /** Takes or refuses a connection that a peer opened. */
  admit(introduced: Introduced): void;
  /** Closes a neighbour's connection and says why. */
  release(peer: Peer, kind: MeshFailureKind, contacts?: readonly string[]): void;
  observe(observer: OverlayObserver): void;
}

/** What the overlay needs from its surroundings. */
export interface OverlayOptions {
  readonly dataCentre: string;
  readonly handshake: Handshake;
  readonly members: MemberTable;
  readonly maxDegree: number;
  readonly joinLimit: RateLimit;
  readonly random: Random;
  readonly log: Log;
  readonly router: Router<Peer>;
}

/** Told of neighbours won and lost. */
export interface OverlayObserver {
  readonly onPeerUp: (peer: Peer, isDialer: boolean) => void;
  /** Called when a connection ended without this daemon's doing. */
  readonly onPeerDown: (peer: Peer, failure: MeshFailure) => void;
}

/** Addresses that a refusal names. */
const REFUSAL_CONTACTS = 8;

/** Creates the overlay of one daemon, without neighbours. */
export function createOverlay(options: OverlayOptions): Overlay {
  const { handshake, members, log } = options;
  const peers = new Map<string, Peer>();
  /** Addresses that are being dialled. */
  const dialing = new Set<string>();
  const observers: OverlayObserver[] = [];

  function add({ connection, hello }: Introduced, isDialer: boolean): void {
    const known = peers.get(hello.id);
    if (known !== undefined) release(known, MeshFailureKind.Replaced);
    const peer: Peer = {
      id: hello.id,
      address: hello.meshAddress,
      connection,
      send: connection.send,
      lastReceivedMs: getMonotonicMs(),
      announcements: [],
    };
    peers.set(peer.id, peer);
    void runPeer(peer);
    observers.forEach((observer) => observer.onPeerUp(peer, isDialer));
  }

  async function runPeer(peer: Peer): Promise<void> {
    const failure = await readPeer(peer, options.router);
    if (isProtocolFailure(failure)) {
      log.warn('mesh-connection-refused', { peer: peer.id, ...toLogFields(failure) });
      refuseConnection(peer.connection, failure);
    }
    peer.connection.close();
    if (peers.get(peer.id) !== peer) return;
    peers.delete(peer.id);
    observers.forEach((observer) => observer.onPeerDown(peer, failure));
  }

  function release(peer: Peer, kind: MeshFailureKind, contacts: readonly string[] = []): void {
    if (peers.get(peer.id) === peer) peers.delete(peer.id);
    refuseConnection(peer.connection, createMeshFailure(kind, 'connection given up', contacts));
  }

  function pickContacts(): string[] {
    return pickRandom(members.listAlive(), REFUSAL_CONTACTS, options.random).map(
      (record) => record.meshAddress,
    );
  }

  function isCrossing({ hello }: Introduced): boolean {
    return dialing.has(hello.meshAddress) && members.getSelf().id < hello.id;
  }

  function findRefusal(introduced: Introduced): string | undefined {
    const { id, purpose } = introduced.hello;
    if (isCrossing(introduced)) return 'a connection the other way is being made';
    if (purpose === 'join' && !options.joinLimit.tryTake()) return 'too many joins at once';
    if (purpose === 'join' || peers.has(id)) return undefined;
    return peers.size >= options.maxDegree ? 'enough neighbours' : undefined;
  }

  function releaseOne({ hello }: Introduced): void {
    if (peers.has(hello.id) || peers.size < options.maxDegree) return;
    const [victim] = pickRandom([...peers.values()], 1, options.random);
    if (victim !== undefined) release(victim, MeshFailureKind.Replaced, [hello.meshAddress]);
  }

  /** Neighbours may have been accepted while this connection was being made. */
  function addDialled(introduced: Introduced): MeshFailure | undefined {
    if (peers.size >= options.maxDegree && !peers.has(introduced.hello.id)) {
      const failure = createMeshFailure(MeshFailureKind.Busy, 'enough neighbours by now');
      refuseConnection(introduced.connection, failure);
      return failure;
    }
    add(introduced, true);
    return undefined;
  }

  return {
    listPeers: () => peers.values(),
    getPeer: (id) => peers.get(id),
    getDegree: () => peers.size,
    connect: async (address, purpose) => {
      dialing.add(address);
      try {
        const introduced = await handshake.dial(address, purpose, options.dataCentre);
        return addDialled(introduced);
      } catch (caught) {
        return toMeshFailure(caught);
      } finally {
        dialing.delete(address);
      }
    },
    admit: (introduced) => {
      const { connection, hello } = introduced;
      const refusal = findRefusal(introduced);
      if (refusal !== undefined) {
        const failure = createMeshFailure(MeshFailureKind.Busy, refusal, pickContacts());
        refuseConnection(connection, failure);
        return;
      }
      releaseOne(introduced);
      connection.send(handshake.createHello(hello.purpose));
      add(introduced, false);
    },
    release,
    observe: (observer) => observers.push(observer),
  };
}

/** Failures after which the peer is told why its connection ends. */
const PROTOCOL_FAILURES: ReadonlySet<MeshFailureKind> = new Set([
  MeshFailureKind.Defect,
  MeshFailureKind.FrameMalformed,
  MeshFailureKind.FrameOversized,
  MeshFailureKind.MessageUnknown,
]);

/** Says whether a connection ended by the peer's breach of the protocol. */
export function isProtocolFailure(failure: MeshFailure): boolean {
  return PROTOCOL_FAILURES.has(failure.kind);
}

/** Converts a failure to fields of a log line. */
export function toLogFields(failure: MeshFailure): { kind: string; reason: string } {
  return { kind: failure.kind, reason: failure.message };
}

/** Reads until the connection ends; answers why it did. */
async function readPeer(peer: Peer, router: Router<Peer>): Promise<MeshFailure> {
  try {
    for (;;) {
      const message = await peer.connection.receive();
      if (message === undefined) {
        return createMeshFailure(MeshFailureKind.Unreachable, 'connection ended');
      }
      if (message.type === 'refusal') {
        const kind = message.kind as MeshFailureKind;
        return createMeshFailure(kind, message.message, message.contacts);
      }
      Object.assign(peer, { lastReceivedMs: getMonotonicMs() });
      router.dispatch(peer, message);
    }
  } catch (caught) {
    return toMeshFailure(caught);
  }
}

import { type Log, type Random, pickRandom, getMonotonicMs } from '@cactusdeal/shared';
import { createMeshFailure, type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import {
  type Handshake,
  type IdentifiedConnection,
  type Purpose,
  refuseConnection,
  toMeshFailure,
} from './CactusdealMeshHandshake.js';
import type { MemberTable } from './CactusdealMeshMembers.js';
import type { Peer } from './CactusdealMeshPeer.js';
import type { RateLimit } from './CactusdealMeshRateLimit.js';
import type { Router } from './CactusdealMeshRouter.js';

/**
 * The active view of HyParView (Leitão et al. 2007): a bounded number of neighbours, each with one
 * connection that one task reads. The member table, which is complete on every daemon, takes the
 * place of the passive view.
 */
export interface Overlay {
  /** Current neighbours. */
  listPeers(): Iterable<Peer>;
  getPeer(id: string): Peer | undefined;
  /** Number of neighbours. */
  getDegree(): number;
  /**
   * Dials an address and adds the member as a neighbour; returns the failure, undefined on success.
   * Fails if the connection or the hello takes longer than `timeoutMs`.
   */
  connect(address: string, purpose: Purpose, timeoutMs: number): Promise<MeshFailure | undefined>;
  /** Adds the peer of an incoming connection as a neighbour, or refuses the connection. */
  admit(identified: IdentifiedConnection): void;
  /** Sends a neighbour the reason, closes its connection and removes it from the active view. */
  closePeer(peer: Peer, kind: MeshFailureKind, contacts?: readonly string[]): void;
  observe(observer: OverlayObserver): void;
}

/** Dependencies and settings of the overlay. */
export interface OverlayOptions {
  readonly dataCentre: string;
  readonly handshake: Handshake;
  readonly members: MemberTable;
  /** Most neighbours held; a join that is accepted beyond it evicts another neighbour. */
  readonly maxDegree: number;
  /** Limits the joins accepted from daemons that have no neighbours yet. */
  readonly joinLimit: RateLimit;
  readonly random: Random;
  readonly log: Log;
  readonly router: Router<Peer>;
}

/** Callbacks for neighbours that were added or lost. */
export interface OverlayObserver {
  /**
   * Called after a neighbour was added; `isDialer` says whether this daemon opened the connection.
   */
  readonly onPeerUp: (peer: Peer, isDialer: boolean) => void;
  /** Called when a neighbour's connection ended, unless this daemon closed or replaced it. */
  readonly onPeerDown: (peer: Peer, failure: MeshFailure) => void;
}

/** Addresses of other members that a refusal lists, for the refused peer to try. */
const MAX_REFUSAL_CONTACTS = 8;

/** Creates the overlay of one daemon, without neighbours. */
export function createOverlay(options: OverlayOptions): Overlay {
  const { handshake, members, log } = options;
  const peers = new Map<string, Peer>();
  /** Addresses that this daemon is dialling now. */
  const dialing = new Set<string>();
  const observers: OverlayObserver[] = [];

  function addPeer({ connection, hello }: IdentifiedConnection, isDialer: boolean): void {
    const known = peers.get(hello.id);
    if (known !== undefined) closePeer(known, MeshFailureKind.Replaced);
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

  function closePeer(peer: Peer, kind: MeshFailureKind, contacts: readonly string[] = []): void {
    if (peers.get(peer.id) === peer) peers.delete(peer.id);
    refuseConnection(
      peer.connection,
      createMeshFailure(kind, 'connection closed by the peer', contacts),
    );
  }

  function pickRefusalContacts(): string[] {
    return pickRandom(members.listAlive(), MAX_REFUSAL_CONTACTS, options.random).map(
      (record) => record.meshAddress,
    );
  }

  /**
   * When two daemons dial each other at the same time, the one with the lower id refuses the
   * incoming connection, so that exactly one of the two is kept.
   */
  function isSimultaneousDial({ hello }: IdentifiedConnection): boolean {
    return dialing.has(hello.meshAddress) && members.getSelf().id < hello.id;
  }

  function findRefusalReason(identified: IdentifiedConnection): string | undefined {
    const { id, purpose } = identified.hello;
    if (isSimultaneousDial(identified)) return `${id} is being dialled from here already`;
    if (purpose === 'join' && !options.joinLimit.tryTake()) return 'join rate limit exceeded';
    if (purpose === 'join' || peers.has(id)) return undefined;
    return peers.size >= options.maxDegree
      ? `limit of ${options.maxDegree} neighbours reached`
      : undefined;
  }

  /** Makes room for an accepted join. */
  function evictRandomPeer({ hello }: IdentifiedConnection): void {
    if (peers.has(hello.id) || peers.size < options.maxDegree) return;
    const [evicted] = pickRandom([...peers.values()], 1, options.random);
    if (evicted !== undefined) closePeer(evicted, MeshFailureKind.Replaced, [hello.meshAddress]);
  }

  /** Checks the limit again, since neighbours may have been accepted while this one was dialled. */
  function addDialled(identified: IdentifiedConnection): MeshFailure | undefined {
    if (peers.size >= options.maxDegree && !peers.has(identified.hello.id)) {
      const failure = createMeshFailure(
        MeshFailureKind.Busy,
        `limit of ${options.maxDegree} neighbours reached while dialling`,
      );
      refuseConnection(identified.connection, failure);
      return failure;
    }
    addPeer(identified, true);
    return undefined;
  }

  return {
    listPeers: () => peers.values(),
    getPeer: (id) => peers.get(id),
    getDegree: () => peers.size,
    connect: async (address, purpose, timeoutMs) => {
      dialing.add(address);
      try {
        const { dataCentre } = options;
        const identified = await handshake.dial(address, purpose, dataCentre, timeoutMs);
        return addDialled(identified);
      } catch (caught) {
        return toMeshFailure(caught);
      } finally {
        dialing.delete(address);
      }
    },
    admit: (identified) => {
      const { connection, hello } = identified;
      const refusal = findRefusalReason(identified);
      if (refusal !== undefined) {
        const failure = createMeshFailure(MeshFailureKind.Busy, refusal, pickRefusalContacts());
        refuseConnection(connection, failure);
        return;
      }
      evictRandomPeer(identified);
      connection.send(handshake.createHello(hello.purpose));
      addPeer(identified, false);
    },
    closePeer,
    observe: (observer) => observers.push(observer),
  };
}

/**
 * Failures that are logged and reported to the peer in a refusal before its connection is closed.
 */
const PROTOCOL_FAILURES: ReadonlySet<MeshFailureKind> = new Set([
  MeshFailureKind.Defect,
  MeshFailureKind.FrameMalformed,
  MeshFailureKind.FrameOversized,
  MeshFailureKind.MessageUnknown,
]);

/** Whether a connection ended because of a message that could not be decoded or handled. */
export function isProtocolFailure(failure: MeshFailure): boolean {
  return PROTOCOL_FAILURES.has(failure.kind);
}

/** Converts a failure to the fields `kind` and `reason` of a log line. */
export function toLogFields(failure: MeshFailure): { kind: string; reason: string } {
  return { kind: failure.kind, reason: failure.message };
}

/** Dispatches a neighbour's messages until its connection ends; returns the reason for the end. */
async function readPeer(peer: Peer, router: Router<Peer>): Promise<MeshFailure> {
  try {
    for (;;) {
      const message = await peer.connection.receive();
      if (message === undefined) {
        return createMeshFailure(MeshFailureKind.Unreachable, `${peer.id} closed the connection`);
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

import { pickRandom, type Random, waitMs } from '@cactusdeal/shared';
import { type ProbeMember, ProbeResult } from './CactusdealMeshDetector.js';
import type { Exchange } from './CactusdealMeshExchange.js';
import { type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import {
  type Handshake,
  type IdentifiedConnection,
  toMeshFailure,
} from './CactusdealMeshHandshake.js';
import { isGone, type MemberTable } from './CactusdealMeshMembers.js';
import type { RemoteEndpoint } from './CactusdealMeshPeer.js';
import { createRouter, type Router } from './CactusdealMeshRouter.js';

/** Short connections to members outside the active view: each compares digests and is a probe. */
export interface Visits {
  /** Opens a fresh connection to a member and compares digests over it. */
  readonly probe: ProbeMember;
  /** Serves a connection that another member opened for a visit. */
  serve(identified: IdentifiedConnection): Promise<void>;
  /** Visits a random member after another until the signal aborts. */
  run(): Promise<void>;
}

/** What visits need from their surroundings. */
export interface VisitOptions {
  readonly dataCentre: string;
  readonly handshake: Handshake;
  readonly members: MemberTable;
  readonly exchange: Exchange;
  readonly contacts: readonly string[];
  readonly digestMs: number;
  /** Longest time that one visit's connection stays open. */
  readonly visitMs: number;
  readonly random: Random;
  readonly signal: AbortSignal;
  /** Called when a member that is held as present could not be reached. */
  readonly onUnreachable: (memberId: string) => void;
}

/** Part of the visits that go to members held as gone and to contacts, which heals a split. */
const HEALING_RATIO = 0.125;
/** The wait between visits varies by this part of itself, both ways. */
const JITTER_RATIO = 0.25;

/** Creates the visits of one daemon. */
export function createVisits(options: VisitOptions): Visits {
  const { handshake, members, exchange, random, signal } = options;
  const router = createVisitRouter(exchange);

  async function serveVisit(
    { connection, hello }: IdentifiedConnection,
    isVisitor: boolean,
  ): Promise<void> {
    const host = { id: hello.id, send: connection.send };
    const timer = setTimeout(connection.destroy, options.visitMs);
    const progress = { hasDigest: false, openTables: 0 };
    try {
      if (isVisitor) exchange.sendDigest(host, true);
      while (!(isVisitor && progress.hasDigest && progress.openTables === 0)) {
        const message = await connection.receive();
        if (message === undefined) return;
        router.dispatch(host, message);
        if (message.type === 'digest') progress.hasDigest = true;
        if (message.type === 'bucket-hashes') progress.openTables += 1;
        if (message.type === 'items' && message.isLast) progress.openTables -= 1;
      }
    } finally {
      clearTimeout(timer);
      connection.close();
    }
  }

  async function probe(address: string, memberId?: string): Promise<ProbeResult> {
    try {
      const identified = await handshake.dial(address, 'probe', options.dataCentre);
      void serveVisit(identified, true).catch(toMeshFailure);
      const isOther = memberId !== undefined && identified.hello.id !== memberId;
      return isOther ? ProbeResult.Refused : ProbeResult.Reached;
    } catch (caught) {
      return toProbeResult(toMeshFailure(caught));
    }
  }

  async function probeNext(): Promise<void> {
    const [record] = pickRandom(members.listPresent(), 1, random);
    if (record === undefined) return;
    const result = await probe(record.meshAddress, record.id);
    if (result !== ProbeResult.Reached) options.onUnreachable(record.id);
  }

  async function probeLost(): Promise<void> {
    const known = members.listPresent().map((record) => record.meshAddress);
    const gone = members.list().filter(isGone);
    const lost = [...options.contacts, ...gone.map((record) => record.meshAddress)]
      .filter((address) => address !== members.getSelf().meshAddress)
      .filter((address) => !known.includes(address));
    const [address] = pickRandom(lost, 1, random);
    if (address !== undefined) await probe(address);
  }

  return {
    probe,
    serve: async (identified) => {
      identified.connection.send(handshake.createHello('probe'));
      await serveVisit(identified, false);
    },
    run: async () => {
      while (!signal.aborted) {
        const jitter = 1 + JITTER_RATIO * (2 * random() - 1);
        await waitMs(options.digestMs * jitter, signal);
        if (signal.aborted) return;
        await (random() < HEALING_RATIO ? probeLost() : probeNext());
      }
    },
  };
}

function createVisitRouter(exchange: Exchange): Router<RemoteEndpoint> {
  const router = createRouter<RemoteEndpoint>();
  exchange.register(router);
  return router;
}

function toProbeResult(failure: MeshFailure): ProbeResult {
  // A member of another protocol version is there all the same.
  if (failure.kind === MeshFailureKind.ProtocolMismatch) return ProbeResult.Reached;
  if (failure.kind === MeshFailureKind.HandshakeTimeout) return ProbeResult.Silent;
  const isSilent = failure.kind === MeshFailureKind.Unreachable && !isRefused(failure);
  return isSilent ? ProbeResult.Silent : ProbeResult.Refused;
}

function isRefused(failure: MeshFailure): boolean {
  return failure.message.includes('ECONNREFUSED');
}

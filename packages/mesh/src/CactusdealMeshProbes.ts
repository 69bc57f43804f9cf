import { pickRandom, type Random, waitMs } from '@cactusdeal/shared';
import { type ProbeMember, ProbeResult } from './CactusdealMeshDetector.js';
import type { Exchange } from './CactusdealMeshExchange.js';
import { type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import {
  type Handshake,
  type IdentifiedConnection,
  toMeshFailure,
} from './CactusdealMeshHandshake.js';
import { isDeadOrLeft, type MemberTable } from './CactusdealMeshMembers.js';
import type { RemoteEndpoint } from './CactusdealMeshPeer.js';
import { createRouter, type Router } from './CactusdealMeshRouter.js';

/**
 * Short-lived connections to members, whether neighbours or not. Each one probes the member and
 * runs anti-entropy with it.
 */
export interface MemberProbes {
  /** Opens a new connection to a member and starts anti-entropy over it. */
  readonly probe: ProbeMember;
  /** Answers anti-entropy on a probe connection that another member opened. */
  serve(identified: IdentifiedConnection): Promise<void>;
  /** Probes one random member or lost address after another until the signal aborts. */
  run(): Promise<void>;
}

/** Dependencies and settings of the probes. */
export interface MemberProbeOptions {
  readonly dataCentre: string;
  readonly handshake: Handshake;
  readonly members: MemberTable;
  readonly exchange: Exchange;
  readonly contacts: readonly string[];
  /** Mean interval of the probes. */
  readonly digestMs: number;
  /** Longest time that a probe's connection stays open. */
  readonly maxSessionMs: number;
  readonly random: Random;
  readonly signal: AbortSignal;
  readonly hasNeighbours: () => boolean;
  /** Called when a periodic probe of an alive or suspect member failed. */
  readonly onUnreachable: (memberId: string) => void;
}

/**
 * Share of the probes that go to dead or left members and to configured contacts. They merge the
 * two sides again after a partition in which each side declared the other dead.
 */
const LOST_ADDRESS_RATIO = 0.125;
/** The interval between probes varies by up to this ratio in both directions. */
const JITTER_RATIO = 0.25;

/** Creates the probes of one daemon. */
export function createMemberProbes(options: MemberProbeOptions): MemberProbes {
  const { handshake, members, exchange, random, signal } = options;
  const router = createProbeRouter(exchange);

  /**
   * Handles messages until the connection ends. The dialer ends it after the peer's digest, once
   * every table that differed was exchanged.
   */
  async function runSession(
    { connection, hello }: IdentifiedConnection,
    isDialer: boolean,
  ): Promise<void> {
    const peer = { id: hello.id, send: connection.send };
    const timer = setTimeout(connection.destroy, options.maxSessionMs);
    const progress = { hasDigest: false, openTables: 0 };
    try {
      if (isDialer) exchange.sendDigest(peer, true);
      while (!(isDialer && progress.hasDigest && progress.openTables === 0)) {
        const message = await connection.receive();
        if (message === undefined) return;
        router.dispatch(peer, message);
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
      void runSession(identified, true).catch(toMeshFailure);
      const isOtherMember = memberId !== undefined && identified.hello.id !== memberId;
      return isOtherMember ? ProbeResult.Refused : ProbeResult.Reached;
    } catch (caught) {
      return toProbeResult(toMeshFailure(caught));
    }
  }

  async function probePresentMember(): Promise<void> {
    const [record] = pickRandom(members.listPresent(), 1, random);
    if (record === undefined) return;
    const result = await probe(record.meshAddress, record.id);
    if (result !== ProbeResult.Reached) options.onUnreachable(record.id);
  }

  /** A daemon without neighbours dials the same addresses to join, so it does not probe them too. */
  async function probeLostAddress(): Promise<void> {
    if (!options.hasNeighbours()) return;
    const presentAddresses = members.listPresent().map((record) => record.meshAddress);
    const deadOrLeft = members.list().filter(isDeadOrLeft);
    const lost = [...options.contacts, ...deadOrLeft.map((record) => record.meshAddress)]
      .filter((address) => address !== members.getSelf().meshAddress)
      .filter((address) => !presentAddresses.includes(address));
    const [address] = pickRandom(lost, 1, random);
    if (address !== undefined) await probe(address);
  }

  return {
    probe,
    serve: async (identified) => {
      identified.connection.send(handshake.createHello('probe'));
      await runSession(identified, false);
    },
    run: async () => {
      while (!signal.aborted) {
        const jitter = 1 + JITTER_RATIO * (2 * random() - 1);
        await waitMs(options.digestMs * jitter, signal);
        if (signal.aborted) return;
        await (random() < LOST_ADDRESS_RATIO ? probeLostAddress() : probePresentMember());
      }
    },
  };
}

function createProbeRouter(exchange: Exchange): Router<RemoteEndpoint> {
  const router = createRouter<RemoteEndpoint>();
  exchange.register(router);
  return router;
}

function toProbeResult(failure: MeshFailure): ProbeResult {
  // A member that speaks another protocol version is running, even though it refuses.
  if (failure.kind === MeshFailureKind.ProtocolMismatch) return ProbeResult.Reached;
  if (failure.kind === MeshFailureKind.HandshakeTimeout) return ProbeResult.Silent;
  const isSilent = failure.kind === MeshFailureKind.Unreachable && !isRefused(failure);
  return isSilent ? ProbeResult.Silent : ProbeResult.Refused;
}

function isRefused(failure: MeshFailure): boolean {
  return failure.message.includes('ECONNREFUSED');
}

import { type Random, pickRandom, waitMs } from '@cactusdeal/shared';
import type { MemberTable } from './CactusdealMeshMembers.js';
import type { Overlay } from './CactusdealMeshOverlay.js';

/**
 * Dials members until the daemon has `activeDegree` neighbours. Candidates are known members and
 * addresses that refusals listed; for a daemon without neighbours also the configured contacts, and
 * as the last resort the result of `findContacts`.
 */
export interface NeighbourFinder {
  /** Runs until the signal aborts. */
  run(): Promise<void>;
  /** Ends the current wait and resets the backoff, for example after a neighbour was lost. */
  wake(): void;
  /** Adds addresses that a refusal listed; they are tried first. */
  addHints(addresses: readonly string[]): void;
}

/** Dependencies and settings of the neighbour finder. */
export interface NeighbourFinderOptions {
  readonly overlay: Overlay;
  readonly members: MemberTable;
  /** Number of neighbours to reach. */
  readonly activeDegree: number;
  readonly contacts: readonly string[];
  /**
   * Returns more addresses of members, in the daemon those of the roster on the platform; called
   * only when no known address led to a neighbour.
   */
  readonly findContacts: () => Promise<readonly string[]>;
  readonly heartbeatMs: number;
  /** Bounds of the timeout of a dial, in milliseconds. */
  readonly minDialTimeoutMs: number;
  readonly maxDialTimeoutMs: number;
  readonly random: Random;
  readonly signal: AbortSignal;
}

/** Known members that one round of dialling tries. */
const MEMBERS_PER_ROUND = 4;
/** Addresses that `addHints` keeps, the newest first. */
const MAX_HINTS = 32;
/** Bounds of the range from which the wait after an unsuccessful round is drawn, in heartbeats. */
const MAX_BACKOFF_HEARTBEATS = 16;
const MIN_BACKOFF_HEARTBEATS = 0.5;

/** Creates the neighbour finder of one daemon. */
export function createNeighbourFinder(options: NeighbourFinderOptions): NeighbourFinder {
  const { overlay, members, random, signal } = options;
  let hints: string[] = [];
  let waitAbort = new AbortController();
  let backoffHeartbeats = MIN_BACKOFF_HEARTBEATS;
  let dialTimeoutMs = options.minDialTimeoutMs;

  function isCandidate(address: string): boolean {
    if (address === members.getSelf().meshAddress) return false;
    return ![...overlay.listPeers()].some((peer) => peer.address === address);
  }

  function listCandidates(): string[] {
    const addresses = members
      .listAlive()
      .map((record) => record.meshAddress)
      .filter(isCandidate);
    const alive = pickRandom(addresses, MEMBERS_PER_ROUND, random);
    const hinted = hints.splice(0).filter(isCandidate);
    if (overlay.getDegree() > 0) return [...new Set([...hinted, ...alive])];
    const everyKnown = members.list().map((record) => record.meshAddress);
    const fallbacks = [...options.contacts, ...pickRandom(everyKnown, MEMBERS_PER_ROUND, random)];
    return [
      ...new Set([...hinted, ...alive, ...pickRandom(fallbacks, fallbacks.length, random)]),
    ].filter(isCandidate);
  }

  /** Dials addresses until there are enough neighbours; returns whether any connection was made. */
  async function tryAddresses(addresses: readonly string[]): Promise<boolean> {
    let isAnyConnected = false;
    for (const address of addresses) {
      if (signal.aborted || overlay.getDegree() >= options.activeDegree) return isAnyConnected;
      const purpose = overlay.getDegree() === 0 ? 'join' : 'peer';
      const failure = await overlay.connect(address, purpose, dialTimeoutMs);
      if (failure === undefined) isAnyConnected = true;
      else hints.push(...(failure.contacts ?? []));
    }
    return isAnyConnected;
  }

  async function tryCandidates(): Promise<boolean> {
    if (await tryAddresses(listCandidates())) return true;
    if (overlay.getDegree() > 0 || hints.length > 0) return false;
    // Jitter of up to one heartbeat, so that the daemons of a data centre that restarts do not all
    // call `findContacts` at the same time.
    await waitMs(random() * options.heartbeatMs, signal);
    const found = await options.findContacts().catch(() => []);
    return tryAddresses(pickRandom(found.filter(isCandidate), MEMBERS_PER_ROUND, random));
  }

  /**
   * Doubles the timeout after a round without a connection, and halves it after another. Daemons that
   * wait for the processor answer late; each dial given up too soon would cost both sides more work.
   */
  function updateDialTimeout(isAnyConnected: boolean): void {
    const { minDialTimeoutMs, maxDialTimeoutMs } = options;
    dialTimeoutMs = isAnyConnected
      ? Math.max(minDialTimeoutMs, dialTimeoutMs / 2)
      : Math.min(maxDialTimeoutMs, dialTimeoutMs * 2);
  }

  /**
   * Exponential backoff with full jitter: the range doubles after each round without a connection.
   */
  async function waitBackoff(isAnyConnected: boolean): Promise<void> {
    const doubled = Math.min(MAX_BACKOFF_HEARTBEATS, backoffHeartbeats * 2);
    backoffHeartbeats = isAnyConnected ? MIN_BACKOFF_HEARTBEATS : doubled;
    await waitMs(random() * backoffHeartbeats * options.heartbeatMs, waitAbort.signal);
  }

  return {
    run: async () => {
      signal.addEventListener('abort', () => waitAbort.abort(), { once: true });
      while (!signal.aborted) {
        waitAbort = new AbortController();
        const hasEnoughNeighbours = overlay.getDegree() >= options.activeDegree;
        if (hasEnoughNeighbours) await waitMs(options.heartbeatMs, waitAbort.signal);
        else {
          const isAnyConnected = await tryCandidates();
          updateDialTimeout(isAnyConnected);
          await waitBackoff(isAnyConnected);
        }
      }
    },
    wake: () => {
      backoffHeartbeats = MIN_BACKOFF_HEARTBEATS;
      waitAbort.abort();
    },
    addHints: (addresses) => {
      hints = [...addresses, ...hints].slice(0, MAX_HINTS);
    },
  };
}

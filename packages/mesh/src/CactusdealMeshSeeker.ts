import { type Random, pickRandom, waitMs } from '@cactusdeal/shared';
import type { MemberTable } from './CactusdealMeshMembers.js';
import type { Overlay } from './CactusdealMeshOverlay.js';

/** Keeps the number of neighbours up: from known members, settings, and at last the roster. */
export interface Seeker {
  /** Runs until the signal aborts. */
  run(): Promise<void>;
  /** Seeks at once, for example after a neighbour was lost. */
  wake(): void;
  /** Adds addresses that a refusing peer named. */
  addHints(addresses: readonly string[]): void;
}

/** What the seeker needs from its surroundings. */
export interface SeekerOptions {
  readonly overlay: Overlay;
  readonly members: MemberTable;
  readonly activeDegree: number;
  readonly contacts: readonly string[];
  readonly findContacts: () => Promise<readonly string[]>;
  readonly heartbeatMs: number;
  readonly random: Random;
  readonly signal: AbortSignal;
}

/** Known members tried in one round. */
const MEMBERS_PER_ROUND = 4;
const MAX_HINTS = 32;
/** Longest and shortest range of the wait between fruitless rounds, in heartbeats. */
const MAX_BACKOFF_HEARTBEATS = 16;
const MIN_BACKOFF_HEARTBEATS = 0.5;

/** Creates the seeker of one daemon. */
export function createSeeker(options: SeekerOptions): Seeker {
  const { overlay, members, random, signal } = options;
  let hints: string[] = [];
  let waking = new AbortController();
  let backoffHeartbeats = MIN_BACKOFF_HEARTBEATS;

  function isWanted(address: string): boolean {
    if (address === members.getSelf().meshAddress) return false;
    return ![...overlay.listPeers()].some((peer) => peer.address === address);
  }

  function listCandidates(): string[] {
    const addresses = members
      .listAlive()
      .map((record) => record.meshAddress)
      .filter(isWanted);
    const known = pickRandom(addresses, MEMBERS_PER_ROUND, random);
    const named = hints.splice(0).filter(isWanted);
    if (overlay.getDegree() > 0) return [...new Set([...named, ...known])];
    const gone = members.list().map((record) => record.meshAddress);
    const others = [...options.contacts, ...pickRandom(gone, MEMBERS_PER_ROUND, random)];
    return [...new Set([...named, ...known, ...pickRandom(others, others.length, random)])].filter(
      isWanted,
    );
  }

  /** Tries addresses until there are neighbours enough; answers whether any was won. */
  async function tryAll(addresses: readonly string[]): Promise<boolean> {
    let isAnyWon = false;
    for (const address of addresses) {
      if (signal.aborted || overlay.getDegree() >= options.activeDegree) return isAnyWon;
      const purpose = overlay.getDegree() === 0 ? 'join' : 'peer';
      const failure = await overlay.connect(address, purpose);
      if (failure === undefined) isAnyWon = true;
      else hints.push(...(failure.contacts ?? []));
    }
    return isAnyWon;
  }

  async function tryCandidates(): Promise<boolean> {
    if (await tryAll(listCandidates())) return true;
    if (overlay.getDegree() > 0 || hints.length > 0) return false;
    // Spread over a heartbeat, so that a data centre that restarts does not ask all at once.
    await waitMs(random() * options.heartbeatMs, signal);
    const found = await options.findContacts().catch(() => []);
    return tryAll(pickRandom(found.filter(isWanted), MEMBERS_PER_ROUND, random));
  }

  /** Full jitter: a wait anywhere between none and the range, which doubles while nothing is won. */
  async function waitTurn(isAnyWon: boolean): Promise<void> {
    const doubled = Math.min(MAX_BACKOFF_HEARTBEATS, backoffHeartbeats * 2);
    backoffHeartbeats = isAnyWon ? MIN_BACKOFF_HEARTBEATS : doubled;
    await waitMs(random() * backoffHeartbeats * options.heartbeatMs, waking.signal);
  }

  return {
    run: async () => {
      signal.addEventListener('abort', () => waking.abort(), { once: true });
      while (!signal.aborted) {
        waking = new AbortController();
        const isSated = overlay.getDegree() >= options.activeDegree;
        if (isSated) await waitMs(options.heartbeatMs, waking.signal);
        else await waitTurn(await tryCandidates());
      }
    },
    wake: () => {
      backoffHeartbeats = MIN_BACKOFF_HEARTBEATS;
      waking.abort();
    },
    addHints: (addresses) => {
      hints = [...addresses, ...hints].slice(0, MAX_HINTS);
    },
  };
}

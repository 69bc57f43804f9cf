import type { MemberRecord } from '@cactusdeal/schema';
import { type Log, pickRandom, type Random, waitMs } from '@cactusdeal/shared';
import type { MemberTable } from './CactusdealMeshMembers.js';
import type { Membership } from './CactusdealMeshMembership.js';
import type { Overlay } from './CactusdealMeshOverlay.js';
import type { Peer } from './CactusdealMeshPeer.js';
import type { Router } from './CactusdealMeshRouter.js';

/** Result of probing a member over a new connection. */
export const ProbeResult = {
  Reached: 'reached',
  /** The host refused the connection, or something other than the member answered. */
  Refused: 'refused',
  /** No hello arrived before the timeout, or the connection failed for another reason. */
  Silent: 'silent',
} as const;
export type ProbeResult = (typeof ProbeResult)[keyof typeof ProbeResult];

/** Probes an address over a new connection; without an id, any member that answers counts. */
export type ProbeMember = (address: string, memberId?: string) => Promise<ProbeResult>;

/**
 * Failure detector after SWIM (Das et al. 2002). A member that appears to be lost is probed
 * directly over a new connection and indirectly by other members. It becomes suspect when none of
 * the probes reaches it and enough helpers report that, and dead when it does not refute the
 * suspicion in time and a second round of probes fails as well.
 */
export interface Detector {
  /**
   * Starts to probe a member; does nothing while an investigation of it is running or the limit of
   * concurrent investigations is reached.
   */
  investigate(memberId: string): void;
  /** Investigates one member whose suspicion was neither refuted nor confirmed in time. */
  reviewSuspects(): void;
  /**
   * Records that this process was suspended or its event loop blocked. Probes that were running
   * then may have failed for that reason alone, so they make no member suspect.
   */
  recordProcessPause(): void;
}

/** Dependencies and settings of the detector; times in milliseconds. */
export interface DetectorOptions {
  readonly members: MemberTable;
  readonly membership: Membership;
  readonly overlay: Overlay;
  readonly router: Router<Peer>;
  readonly probe: ProbeMember;
  readonly probeTimeoutMs: number;
  readonly suspicionMs: number;
  readonly clock: () => number;
  readonly random: Random;
  readonly signal: AbortSignal;
  readonly log: Log;
}

/** Members asked for an indirect probe. */
const HELPER_COUNT = 3;
/** Indirect probes that must also fail; fewer when the data centre has fewer other members. */
const REQUIRED_FAILED_HELPERS = 2;
/** Concurrent investigations. */
const MAX_INVESTIGATIONS = 16;
/** Concurrent probes on request of other members; a request beyond them is not answered. */
const MAX_INDIRECT_PROBES = 16;
/** Suspicion times after which any member investigates a suspect that is still unresolved. */
const REVIEW_SUSPICION_TIMES = 3;

type Reachability = 'reachable' | 'unreachable' | 'unknown';

/** Creates the failure detector of one daemon. */
export function createDetector(options: DetectorOptions): Detector {
  const { members, membership, log } = options;
  const investigations = new Set<string>();
  const pendingAnswers = createPendingAnswers();
  let pauseCount = 0;
  registerIndirectProbes(options, pendingAnswers);

  async function checkReachability(record: MemberRecord): Promise<Reachability> {
    const pausesBefore = pauseCount;
    const direct = await options.probe(record.meshAddress, record.id);
    if (direct === ProbeResult.Reached) return 'reachable';
    const votes = await collectVotes(options, pendingAnswers, record);
    if (votes.includes(true)) {
      log.warn('mesh-link-bad', { peer: record.id });
      return 'reachable';
    }
    if (pauseCount !== pausesBefore || options.signal.aborted) return 'unknown';
    return resolveReachability(direct, votes.length, members.listPresent().length - 1);
  }

  async function runInvestigation(memberId: string): Promise<void> {
    const record = members.get(memberId);
    if (record === undefined || !isPresent(record)) return;
    if ((await checkReachability(record)) !== 'unreachable') return;
    membership.publishVerdict(record, 'suspect');
    log.info('mesh-member-suspect', { member: memberId });
    await waitMs(options.suspicionMs, options.signal);
    const suspect = members.get(memberId);
    if (suspect?.state !== 'suspect' || suspect.incarnation !== record.incarnation) return;
    if ((await checkReachability(suspect)) !== 'unreachable') return;
    membership.publishVerdict(suspect, 'dead');
    log.info('mesh-member-dead', { member: memberId });
  }

  function startInvestigation(memberId: string): void {
    if (investigations.has(memberId) || investigations.size >= MAX_INVESTIGATIONS) return;
    investigations.add(memberId);
    void runInvestigation(memberId).finally(() => investigations.delete(memberId));
  }

  return {
    investigate: startInvestigation,
    reviewSuspects: () => {
      const beforeMs = options.clock() - REVIEW_SUSPICION_TIMES * options.suspicionMs;
      const overdue = members.listSuspectsBefore(beforeMs);
      pickRandom(overdue, 1, options.random).forEach((record) => startInvestigation(record.id));
    },
    recordProcessPause: () => {
      pauseCount += 1;
    },
  };
}

function isPresent(record: MemberRecord): boolean {
  return record.state === 'alive' || record.state === 'suspect';
}

/**
 * Evaluates a failed direct probe together with the number of helpers whose probe failed too.
 * Without enough helpers' answers this daemon may itself be isolated, so then only a refused
 * connection counts as a failure of the member.
 */
function resolveReachability(
  direct: ProbeResult,
  failedHelpers: number,
  otherCount: number,
): Reachability {
  const required = Math.min(REQUIRED_FAILED_HELPERS, otherCount);
  if (failedHelpers >= required) return 'unreachable';
  return direct === ProbeResult.Refused ? 'unreachable' : 'unknown';
}

/** Indirect probes whose answer is still awaited. */
interface PendingAnswers {
  /** Waits for the answer of one helper; undefined after `timeoutMs`. */
  wait(helperId: string, memberId: string, timeoutMs: number): Promise<boolean | undefined>;
  /** Passes an answer to the waiting investigation; ignores one that nobody waits for. */
  resolve(helperId: string, memberId: string, isReached: boolean): void;
}

function createPendingAnswers(): PendingAnswers {
  const resolvers = new Map<string, (isReached: boolean) => void>();
  return {
    wait: (helperId, memberId, timeoutMs) =>
      new Promise((resolve) => {
        const key = `${helperId} ${memberId}`;
        const timer = setTimeout(() => finish(undefined), timeoutMs);
        resolvers.set(key, finish);

        function finish(isReached: boolean | undefined): void {
          clearTimeout(timer);
          resolvers.delete(key);
          resolve(isReached);
        }
      }),
    resolve: (helperId, memberId, isReached) =>
      resolvers.get(`${helperId} ${memberId}`)?.(isReached),
  };
}

/**
 * Requests indirect probes. Returns one vote per helper that answered: whether it reached the
 * member.
 */
async function collectVotes(
  options: DetectorOptions,
  pendingAnswers: PendingAnswers,
  record: MemberRecord,
): Promise<boolean[]> {
  const others = [...options.overlay.listPeers()].filter((peer) => peer.id !== record.id);
  const helpers = pickRandom(others, HELPER_COUNT, options.random);
  const timeoutMs = 2 * options.probeTimeoutMs;
  const votes = helpers.map((helper) => {
    helper.send({ type: 'probe', id: record.id, address: record.meshAddress });
    return pendingAnswers.wait(helper.id, record.id, timeoutMs);
  });
  return (await Promise.all(votes)).filter((vote) => vote !== undefined);
}

function registerIndirectProbes(options: DetectorOptions, pendingAnswers: PendingAnswers): void {
  let runningProbes = 0;

  async function runIndirectProbe(peer: Peer, id: string, address: string): Promise<void> {
    if (runningProbes >= MAX_INDIRECT_PROBES) return;
    runningProbes += 1;
    const result = await options.probe(address, id).finally(() => {
      runningProbes -= 1;
    });
    peer.send({ type: 'probe-answer', id, reached: result === ProbeResult.Reached });
  }

  options.router.handle('probe', (peer, { id, address }) => {
    void runIndirectProbe(peer, id, address);
  });
  options.router.handle('probe-answer', (peer, { id, reached }) =>
    pendingAnswers.resolve(peer.id, id, reached),
  );
}

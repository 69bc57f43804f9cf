import type { MemberRecord } from '@cactusdeal/schema';
import { type Log, pickRandom, type Random, waitMs } from '@cactusdeal/shared';
import type { MemberTable } from './CactusdealMeshMembers.js';
import type { Membership } from './CactusdealMeshMembership.js';
import type { Overlay } from './CactusdealMeshOverlay.js';
import type { Peer } from './CactusdealMeshPeer.js';
import type { Router } from './CactusdealMeshRouter.js';

/** How a fresh connection to a member went. */
export const ProbeResult = {
  Reached: 'reached',
  /** The host answered that nothing listens there, or another member does. */
  Refused: 'refused',
  Silent: 'silent',
} as const;
export type ProbeResult = (typeof ProbeResult)[keyof typeof ProbeResult];

/** Tries a member over a fresh connection; without an id, whoever answers there will do. */
export type ProbeMember = (address: string, memberId?: string) => Promise<ProbeResult>;

/**
 * Failure detection (SWIM, Das et al. 2002): a member that seems lost is tried over a fresh
 * connection and through other members; only their agreement makes it suspect, and a suspect that
 * neither refutes nor answers within the suspicion time is dead.
 */
export interface Detector {
  /** Starts finding out whether the member is there; does nothing while that is under way. */
  investigate(memberId: string): void;
  /** Takes up suspects that nobody settled. */
  reviewSuspects(): void;
  /** Notes that this process itself stood still, which voids what it missed meanwhile. */
  recordPause(): void;
}

/** What the detector needs from its surroundings. */
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

/** Members asked to try a lost one. */
const HELPER_COUNT = 3;
/** Helpers that have to fail as well, where there are so many. */
const WANTED_WITNESSES = 2;
const MAX_INVESTIGATIONS = 16;
const MAX_PROBES_FOR_OTHERS = 16;
/** A suspect is taken up by others after this many suspicion times. */
const REVIEW_SUSPICIONS = 3;

type Verdict = 'there' | 'gone' | 'unclear';

/** Creates the detector of one daemon. */
export function createDetector(options: DetectorOptions): Detector {
  const { members, membership, log } = options;
  const running = new Set<string>();
  const answers = createAnswerBook();
  let pauseCount = 0;
  registerProbes(options, answers);

  async function checkMember(record: MemberRecord): Promise<Verdict> {
    const pausesBefore = pauseCount;
    const direct = await options.probe(record.meshAddress, record.id);
    if (direct === ProbeResult.Reached) return 'there';
    const votes = await collectVotes(options, answers, record);
    if (votes.includes(true)) {
      log.warn('mesh-link-bad', { peer: record.id });
      return 'there';
    }
    if (pauseCount !== pausesBefore || options.signal.aborted) return 'unclear';
    return resolveVerdict(direct, votes.length, members.listPresent().length - 1);
  }

  async function settle(memberId: string): Promise<void> {
    const record = members.get(memberId);
    if (record === undefined || !isOpen(record)) return;
    if ((await checkMember(record)) !== 'gone') return;
    membership.publishVerdict(record, 'suspect');
    log.info('mesh-member-suspect', { member: memberId });
    await waitMs(options.suspicionMs, options.signal);
    const suspect = members.get(memberId);
    if (suspect?.state !== 'suspect' || suspect.incarnation !== record.incarnation) return;
    if ((await checkMember(suspect)) !== 'gone') return;
    membership.publishVerdict(suspect, 'dead');
    log.info('mesh-member-dead', { member: memberId });
  }

  function startInvestigation(memberId: string): void {
    if (running.has(memberId) || running.size >= MAX_INVESTIGATIONS) return;
    running.add(memberId);
    void settle(memberId).finally(() => running.delete(memberId));
  }

  return {
    investigate: startInvestigation,
    reviewSuspects: () => {
      const beforeMs = options.clock() - REVIEW_SUSPICIONS * options.suspicionMs;
      const overdue = members.listSuspectsBefore(beforeMs);
      pickRandom(overdue, 1, options.random).forEach((record) => startInvestigation(record.id));
    },
    recordPause: () => {
      pauseCount += 1;
    },
  };
}

function isOpen(record: MemberRecord): boolean {
  return record.state === 'alive' || record.state === 'suspect';
}

/**
 * Decides from a failed direct probe and the helpers that failed as well. Without any helper's
 * answer this daemon may itself be the one that is cut off, so only a refusal by the host counts.
 */
function resolveVerdict(direct: ProbeResult, witnesses: number, otherCount: number): Verdict {
  const wanted = Math.min(WANTED_WITNESSES, otherCount);
  if (witnesses >= wanted) return 'gone';
  return direct === ProbeResult.Refused ? 'gone' : 'unclear';
}

interface AnswerBook {
  /** Waits for the answer of one helper; undefined when none came in time. */
  wait(helperId: string, memberId: string, timeoutMs: number): Promise<boolean | undefined>;
  record(helperId: string, memberId: string, isReached: boolean): void;
}

function createAnswerBook(): AnswerBook {
  const waiting = new Map<string, (isReached: boolean) => void>();
  return {
    wait: (helperId, memberId, timeoutMs) =>
      new Promise((resolve) => {
        const key = `${helperId} ${memberId}`;
        const timer = setTimeout(() => finish(undefined), timeoutMs);
        waiting.set(key, finish);

        function finish(isReached: boolean | undefined): void {
          clearTimeout(timer);
          waiting.delete(key);
          resolve(isReached);
        }
      }),
    record: (helperId, memberId, isReached) => waiting.get(`${helperId} ${memberId}`)?.(isReached),
  };
}

/** Answers one vote for each helper that replied: whether it reached the member. */
async function collectVotes(
  options: DetectorOptions,
  answers: AnswerBook,
  record: MemberRecord,
): Promise<boolean[]> {
  const others = [...options.overlay.listPeers()].filter((peer) => peer.id !== record.id);
  const helpers = pickRandom(others, HELPER_COUNT, options.random);
  const timeoutMs = 2 * options.probeTimeoutMs;
  const votes = helpers.map((helper) => {
    helper.send({ type: 'probe', id: record.id, address: record.meshAddress });
    return answers.wait(helper.id, record.id, timeoutMs);
  });
  return (await Promise.all(votes)).filter((vote) => vote !== undefined);
}

function registerProbes(options: DetectorOptions, answers: AnswerBook): void {
  let running = 0;

  async function probeFor(peer: Peer, id: string, address: string): Promise<void> {
    if (running >= MAX_PROBES_FOR_OTHERS) return;
    running += 1;
    const result = await options.probe(address, id).finally(() => {
      running -= 1;
    });
    peer.send({ type: 'probe-answer', id, reached: result === ProbeResult.Reached });
  }

  options.router.handle('probe', (peer, { id, address }) => {
    void probeFor(peer, id, address);
  });
  options.router.handle('probe-answer', (peer, { id, reached }) =>
    answers.record(peer.id, id, reached),
  );
}

import {
  buildNotDoneFailure,
  buildUnknownFailure,
  createMemoryPlatform,
  type Platform,
  type PlatformFailure,
} from '@cactusdeal/platform';
import { createSeededRandom, createSilentLog } from '@cactusdeal/shared';
import { type Either, Left } from 'purify-ts';
import {
  buildIdempotencyKey,
  CallOutcome,
  type Claims,
  type ClaimTicket,
  createClaims,
  type Refusal,
} from '../index.js';
import { createVirtualTime } from './CactusdealTrafficVirtualTime.js';

/**
 * Fault of one platform call: no effect (`notDone`), an effect whose answer is lost (`lostAnswer`), or
 * an effect after the failure was reported (`lateEffect`). Delays in milliseconds of virtual time.
 */
export interface PlatformFault {
  readonly type: 'none' | 'notDone' | 'lostAnswer' | 'lateEffect';
  readonly delayMs: number;
}

/** One attempt of a call at one claim holder; times in milliseconds of virtual time. */
export interface SimulatedAttempt {
  readonly atMs: number;
  /** Index of the idempotency key. */
  readonly key: number;
  /** Index of the process that claims the key and sends the attempt. */
  readonly holder: number;
  /** Time from the attempt's start to its deadline. */
  readonly timeoutMs: number;
  /** How long the holder pauses between claiming the key and sending the attempt. */
  readonly pauseMs: number;
  readonly serviceMs: number;
  /** Whether the upstream answers, never answers, or the attempt is not sent at all. */
  readonly end: 'answered' | 'silent' | 'notSent';
  readonly cancelAfterMs?: number;
}

export interface ClaimSimulationOptions {
  readonly faults: readonly PlatformFault[];
  readonly attempts: readonly SimulatedAttempt[];
  readonly crashes: readonly { readonly atMs: number; readonly holder: number }[];
  /** Time from which on the platform has no faults. */
  readonly faultsEndAtMs: number;
  /** Whether all keys share one record. */
  readonly isGrouped: boolean;
}

/** The reported result of an attempt, and what the upstreams had recorded for its key by then. */
export interface AttemptReport {
  readonly attempt: SimulatedAttempt;
  /** `sent`, or kind and outcome of the refusal. */
  readonly result: string;
  readonly runsAtReport: number;
  readonly isCompletedAtReport: boolean;
}

export interface ClaimSimulationResult {
  /** Number of executions by key, as recorded by the upstreams. */
  readonly runs: ReadonlyMap<number, number>;
  readonly reports: readonly AttemptReport[];
}

interface Holder {
  readonly claims: Claims;
  hasCrashed: boolean;
}

const START_MS = 1_764_800_000_000;

/** Simulates attempts of three holders that share one faulty platform, in virtual time. */
export async function runClaimSimulation(
  options: ClaimSimulationOptions,
): Promise<ClaimSimulationResult> {
  const time = createVirtualTime(START_MS);
  const random = createSeededRandom(1);
  const store = createMemoryPlatform({ clock: time.clock });
  const runs = new Map<number, number>();
  const completed = new Set<number>();
  const reports: AttemptReport[] = [];
  const keys = [0, 1, 2].map(() => buildIdempotencyKey(START_MS, random));
  const holders = [0, 1, 2].map((name) => createHolder(String(name)));
  let platformCalls = 0;

  function createHolder(holderId: string): Holder {
    const holder = { hasCrashed: false };
    const { clock, schedule, pause } = time;
    const platform = createFaultyPlatform(holder);
    const log = createSilentLog();
    const common = { platform, holderId, clock, log, random, schedule, pause };
    const grouping = { windowMs: 10_000, shards: 1 };
    const claims = createClaims(options.isGrouped ? { ...common, grouping } : common);
    return Object.assign(holder, { claims });
  }

  function createFaultyPlatform(holder: { hasCrashed: boolean }): Platform {
    const call = async <T>(
      run: () => Promise<Either<PlatformFailure, T>>,
    ): Promise<Either<PlatformFailure, T>> => {
      if (holder.hasCrashed) return new Promise(() => {});
      const { type, delayMs } = pickFault();
      await time.pause(delayMs);
      if (type === 'notDone') return Left(buildNotDoneFailure('fault'));
      if (type === 'lateEffect') time.schedule(() => run(), delayMs * 2);
      const result = type === 'lateEffect' ? Left(buildUnknownFailure('fault')) : await run();
      await time.pause(1);
      if (holder.hasCrashed) return new Promise(() => {});
      return type === 'none' ? result : Left(buildUnknownFailure('fault'));
    };
    return {
      ...store,
      get: (key) => call(() => store.get(key)),
      createIfAbsent: (...all) => call(() => store.createIfAbsent(...all)),
      compareAndSwap: (...all) => call(() => store.compareAndSwap(...all)),
      grantLease: (ttlMs) => call(() => store.grantLease(ttlMs)),
    };
  }

  function pickFault(): PlatformFault {
    platformCalls += 1;
    const fault = options.faults[platformCalls % Math.max(1, options.faults.length)];
    const haveFaultsEnded = time.clock() - START_MS >= options.faultsEndAtMs;
    return haveFaultsEnded || fault === undefined ? { type: 'none', delayMs: 2 } : fault;
  }

  function recordReport(attempt: SimulatedAttempt, result: string): void {
    const runsAtReport = runs.get(attempt.key) ?? 0;
    reports.push({
      attempt,
      result,
      runsAtReport,
      isCompletedAtReport: completed.has(attempt.key),
    });
  }

  async function runAttempt(attempt: SimulatedAttempt): Promise<void> {
    const holder = holders[attempt.holder] as Holder;
    const controller = new AbortController();
    const { cancelAfterMs } = attempt;
    if (cancelAfterMs !== undefined) time.schedule(() => controller.abort(), cancelAfterMs);
    const deadlineAtMs = time.clock() + attempt.timeoutMs;
    const key = keys[attempt.key] as string;
    const request = { service: 'orders', key, deadlineAtMs, signal: controller.signal };
    const claimed = await holder.claims.claim(request);
    if (holder.hasCrashed) return;
    const refused = claimed.swap().map((refusal: Refusal) => `${refusal.kind}:${refusal.outcome}`);
    refused.ifRight((result) => recordReport(attempt, result));
    if (claimed.isRight()) await sendAttempt(attempt, holder, claimed.extract(), deadlineAtMs);
  }

  async function sendAttempt(
    attempt: SimulatedAttempt,
    holder: Holder,
    ticket: ClaimTicket,
    deadlineAtMs: number,
  ): Promise<void> {
    await time.pause(attempt.pauseMs);
    if (holder.hasCrashed) return;
    if (attempt.end === 'notSent' || time.clock() >= deadlineAtMs) {
      recordReport(attempt, `DeadlinePassed:${CallOutcome.NotRun}`);
      ticket.abandon();
      return;
    }
    runs.set(attempt.key, (runs.get(attempt.key) ?? 0) + 1);
    recordReport(attempt, 'sent');
    await time.pause(attempt.serviceMs);
    if (holder.hasCrashed || attempt.end === 'silent') return;
    completed.add(attempt.key);
    ticket.complete(200);
  }

  options.attempts.forEach((attempt) => time.schedule(() => runAttempt(attempt), attempt.atMs));
  options.crashes.forEach(({ atMs, holder }) =>
    time.schedule(() => {
      (holders[holder] as Holder).hasCrashed = true;
      holders[holder] = createHolder(`${holder}-again`);
    }, atMs),
  );
  await time.run();
  return { runs, reports };
}

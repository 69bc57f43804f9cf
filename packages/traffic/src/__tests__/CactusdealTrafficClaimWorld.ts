import {
  buildNotDone,
  buildUnknown,
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

/** What the platform does with one call. Delays in milliseconds of virtual time. */
export interface PlatformFault {
  readonly type: 'none' | 'notDone' | 'lostAnswer' | 'lateEffect';
  readonly delayMs: number;
}

/** One attempt of a call by one holder; times in milliseconds of virtual time. */
export interface Attempt {
  readonly atMs: number;
  readonly key: number;
  readonly holder: number;
  readonly patienceMs: number;
  /** How long the holder is paused between its claim and sending. */
  readonly pauseMs: number;
  readonly serviceMs: number;
  readonly end: 'answered' | 'silent' | 'notSent';
  readonly cancelAfterMs?: number;
}

export interface ClaimWorldOptions {
  readonly faults: readonly PlatformFault[];
  readonly attempts: readonly Attempt[];
  readonly crashes: readonly { readonly atMs: number; readonly holder: number }[];
  /** From when on the platform has no fault. */
  readonly healsAtMs: number;
  /** All keys share one record. */
  readonly isGrouped: boolean;
}

/** One answer to an attempt, and what upstreams had recorded of the key when it was given. */
export interface ClaimAnswer {
  readonly attempt: Attempt;
  readonly text: string;
  readonly runsThen: number;
  readonly completedThen: boolean;
}

export interface ClaimWorldResult {
  /** Runs by key, as upstreams recorded them. */
  readonly runs: ReadonlyMap<number, number>;
  readonly answers: readonly ClaimAnswer[];
}

interface Holder {
  readonly claims: Claims;
  isDead: boolean;
}

const START_MS = 1_764_800_000_000;

/** Runs attempts of several holders over one platform with faults, in virtual time. */
export async function runClaimWorld(options: ClaimWorldOptions): Promise<ClaimWorldResult> {
  const time = createVirtualTime(START_MS);
  const random = createSeededRandom(1);
  const store = createMemoryPlatform({ clock: time.clock });
  const runs = new Map<number, number>();
  const completed = new Set<number>();
  const answers: ClaimAnswer[] = [];
  const keys = [0, 1, 2].map(() => buildIdempotencyKey(START_MS, random));
  const holders = [0, 1, 2].map((name) => createHolder(String(name)));
  let platformCalls = 0;

  function createHolder(holderId: string): Holder {
    const holder = { isDead: false };
    const { clock, schedule, pause } = time;
    const platform = createFaultyPlatform(holder);
    const log = createSilentLog();
    const common = { platform, holderId, clock, log, random, schedule, pause };
    const grouping = { windowMs: 10_000, shards: 1 };
    const claims = createClaims(options.isGrouped ? { ...common, grouping } : common);
    return Object.assign(holder, { claims });
  }

  function createFaultyPlatform(holder: { isDead: boolean }): Platform {
    const call = async <T>(
      run: () => Promise<Either<PlatformFailure, T>>,
    ): Promise<Either<PlatformFailure, T>> => {
      if (holder.isDead) return new Promise(() => {});
      const { type, delayMs } = pickFault();
      await time.pause(delayMs);
      if (type === 'notDone') return Left(buildNotDone('fault'));
      if (type === 'lateEffect') time.schedule(() => run(), delayMs * 2);
      const result = type === 'lateEffect' ? Left(buildUnknown('fault')) : await run();
      await time.pause(1);
      if (holder.isDead) return new Promise(() => {});
      return type === 'none' ? result : Left(buildUnknown('fault'));
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
    const isHealed = time.clock() - START_MS >= options.healsAtMs;
    return isHealed || fault === undefined ? { type: 'none', delayMs: 2 } : fault;
  }

  function recordAnswer(attempt: Attempt, text: string): void {
    const runsThen = runs.get(attempt.key) ?? 0;
    answers.push({ attempt, text, runsThen, completedThen: completed.has(attempt.key) });
  }

  async function runAttempt(attempt: Attempt): Promise<void> {
    const holder = holders[attempt.holder] as Holder;
    const controller = new AbortController();
    const { cancelAfterMs } = attempt;
    if (cancelAfterMs !== undefined) time.schedule(() => controller.abort(), cancelAfterMs);
    const deadlineAtMs = time.clock() + attempt.patienceMs;
    const key = keys[attempt.key] as string;
    const request = { service: 'orders', key, deadlineAtMs, signal: controller.signal };
    const claimed = await holder.claims.claim(request);
    if (holder.isDead) return;
    const refused = claimed.swap().map((refusal: Refusal) => `${refusal.kind}:${refusal.outcome}`);
    refused.ifRight((text) => recordAnswer(attempt, text));
    if (claimed.isRight()) await sendAttempt(attempt, holder, claimed.extract(), deadlineAtMs);
  }

  async function sendAttempt(
    attempt: Attempt,
    holder: Holder,
    ticket: ClaimTicket,
    deadlineAtMs: number,
  ): Promise<void> {
    await time.pause(attempt.pauseMs);
    if (holder.isDead) return;
    if (attempt.end === 'notSent' || time.clock() >= deadlineAtMs) {
      recordAnswer(attempt, `DeadlinePassed:${CallOutcome.NotRun}`);
      ticket.abandon();
      return;
    }
    runs.set(attempt.key, (runs.get(attempt.key) ?? 0) + 1);
    recordAnswer(attempt, 'sent');
    await time.pause(attempt.serviceMs);
    if (holder.isDead || attempt.end === 'silent') return;
    completed.add(attempt.key);
    ticket.complete(200);
  }

  options.attempts.forEach((attempt) => time.schedule(() => runAttempt(attempt), attempt.atMs));
  options.crashes.forEach(({ atMs, holder }) =>
    time.schedule(() => {
      (holders[holder] as Holder).isDead = true;
      holders[holder] = createHolder(`${holder}-again`);
    }, atMs),
  );
  await time.run();
  return { runs, answers };
}

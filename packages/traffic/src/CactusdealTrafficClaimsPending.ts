import type { Clock } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { PendingClaim } from './CactusdealTrafficClaimsPage.js';
import type { ClaimEntry } from './CactusdealTrafficClaimsRecord.js';
import type { Schedule } from './CactusdealTrafficGateQueue.js';
import { createNotRun, createRefusal } from './CactusdealTrafficRefusal.js';
import { CallOutcome, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What a claim needs until it is settled. */
export interface PendingClaimOptions {
  readonly hash: string;
  readonly attempt: string;
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
  readonly clock: Clock;
  readonly schedule: Schedule;
  readonly settle: (result: Either<Refusal, undefined>) => void;
}

/** Time after an attempt's deadline in which it is still taken to be running. */
const RUNNING_MARGIN_MS = 2_000;

/** Creates a claim that withdraws itself at its deadline or when its caller cancels. */
export function createPendingClaim(options: PendingClaimOptions): PendingClaim {
  const { hash, attempt, deadlineAtMs, signal, clock, schedule } = options;
  let isSettled = false;
  const cancelTimer = schedule(refuseUnsettled, Math.max(0, deadlineAtMs - clock()));
  signal.addEventListener('abort', cancel, { once: true });

  function settle(result: Either<Refusal, undefined>): void {
    if (isSettled) return;
    isSettled = true;
    cancelTimer();
    signal.removeEventListener('abort', cancel);
    options.settle(result);
  }

  function cancel(): void {
    settle(Left(createNotRun(RefusalKind.Cancelled, 'caller cancelled while the key was claimed')));
  }

  function refuseUnsettled(): void {
    settle(Left(buildUnavailable()));
  }

  return {
    hash,
    attempt,
    deadlineAtMs,
    isWithdrawn: () => isSettled,
    grant: () => {
      // The timer may be late in a process that was paused.
      if (clock() >= deadlineAtMs) refuseUnsettled();
      if (isSettled) return false;
      settle(Right(undefined));
      return true;
    },
    refuse: (entry) => settle(Left(buildClaimed(entry, clock()))),
    fail: refuseUnsettled,
  };
}

/** The platform did not settle the claim; the attempt is never sent. */
export function buildUnavailable(retryAfterMs?: number): Refusal {
  const message = 'claim on the idempotency key was not settled';
  return createNotRun(RefusalKind.ClaimUnavailable, message, retryAfterMs);
}

function buildClaimed(entry: ClaimEntry, nowMs: number): Refusal {
  const message =
    entry.status === undefined
      ? 'idempotency key is claimed by another attempt'
      : `another attempt with the idempotency key was answered with status ${entry.status}`;
  return createRefusal(RefusalKind.KeyClaimed, message, readOutcome(entry, nowMs));
}

function readOutcome(entry: ClaimEntry, nowMs: number): CallOutcome {
  if (entry.status !== undefined) return CallOutcome.Completed;
  const isRunning = nowMs < entry.deadlineAtMs + RUNNING_MARGIN_MS;
  return isRunning ? CallOutcome.Running : CallOutcome.Unknown;
}

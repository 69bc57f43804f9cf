import type { Clock } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { PendingClaim } from './CactusdealTrafficClaimsPage.js';
import type { ClaimEntry } from './CactusdealTrafficClaimsRecord.js';
import type { Schedule } from './CactusdealTrafficGateQueue.js';
import { createNotRun, createRefusal } from './CactusdealTrafficRefusal.js';
import { CallOutcome, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Options of `createPendingClaim`. */
export interface PendingClaimOptions {
  readonly hash: string;
  readonly attempt: string;
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
  readonly clock: Clock;
  readonly schedule: Schedule;
  readonly onSettled: (result: Either<Refusal, undefined>) => void;
}

/** Time after an attempt's deadline, in milliseconds, in which it is still assumed to run. */
const RUNNING_GRACE_MS = 2_000;

/** Creates a claim that is withdrawn at its deadline or when the caller cancels. */
export function createPendingClaim(options: PendingClaimOptions): PendingClaim {
  const { hash, attempt, deadlineAtMs, signal, clock, schedule } = options;
  let isSettled = false;
  const cancelTimer = schedule(refuseUnavailable, Math.max(0, deadlineAtMs - clock()));
  signal.addEventListener('abort', cancel, { once: true });

  function settle(result: Either<Refusal, undefined>): void {
    if (isSettled) return;
    isSettled = true;
    cancelTimer();
    signal.removeEventListener('abort', cancel);
    options.onSettled(result);
  }

  function cancel(): void {
    settle(
      Left(
        createNotRun(
          RefusalKind.Cancelled,
          'the caller cancelled while the idempotency key was being claimed',
        ),
      ),
    );
  }

  function refuseUnavailable(): void {
    settle(Left(buildUnavailable()));
  }

  return {
    hash,
    attempt,
    deadlineAtMs,
    isWithdrawn: () => isSettled,
    grant: () => {
      // In a process that was paused, the timer may fire after the deadline.
      if (clock() >= deadlineAtMs) refuseUnavailable();
      if (isSettled) return false;
      settle(Right(undefined));
      return true;
    },
    refuse: (entry) => settle(Left(buildClaimed(entry, clock()))),
    fail: refuseUnavailable,
  };
}

/** The refusal of a claim that the platform did not confirm; its attempt is never sent. */
export function buildUnavailable(retryAfterMs?: number): Refusal {
  const message = 'the platform did not confirm the claim on the idempotency key';
  return createNotRun(RefusalKind.ClaimUnavailable, message, retryAfterMs);
}

function buildClaimed(entry: ClaimEntry, nowMs: number): Refusal {
  const message =
    entry.status === undefined
      ? 'the idempotency key is claimed by another attempt'
      : `another attempt with the idempotency key was answered with HTTP status ${entry.status}`;
  return createRefusal(RefusalKind.KeyClaimed, message, getClaimOutcome(entry, nowMs));
}

function getClaimOutcome(entry: ClaimEntry, nowMs: number): CallOutcome {
  if (entry.status !== undefined) return CallOutcome.Completed;
  const isRunning = nowMs < entry.deadlineAtMs + RUNNING_GRACE_MS;
  return isRunning ? CallOutcome.Running : CallOutcome.Unknown;
}

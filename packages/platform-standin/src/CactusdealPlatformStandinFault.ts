import { type CallBudget, createCallBudget } from '@cactusdeal/platform';
import { type Failure, getMonotonicMs } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';

/** Kinds of faults that the stand-in injects. */
export const FaultMode = {
  None: 'none',
  /** Answers 503; no call takes effect. Setting it closes the connections that wait for an answer. */
  Down: 'down',
  /** Never answers; no call takes effect. Setting it closes the connections that wait for an answer. */
  Silent: 'silent',
  /** Delays each call before it takes effect. */
  Slow: 'slow',
  /** Lets each write take effect, then closes its connection without an answer. */
  LoseAnswer: 'loseAnswer',
  /** Refuses calls beyond a rate with status 429. */
  Limit: 'limit',
} as const;
export type FaultMode = (typeof FaultMode)[keyof typeof FaultMode];

/** A fault to inject; the JSON body of `/control/fault`. */
export interface Fault {
  readonly mode: FaultMode;
  /** For `slow`: delay before a call takes effect, in milliseconds. */
  readonly delayMs?: number;
  /** Number of calls that the fault affects before it ends; unlimited when absent. */
  readonly remaining?: number;
  /** For `limit`: rate beyond which calls are refused. */
  readonly callsPerSecond?: number;
  /** Affects only calls on keys with this prefix; when absent, all calls, including those on leases. */
  readonly keyPrefix?: string;
}

export type FaultFailure = Failure<'FaultInvalid'>;

const NUMERIC_FIELDS = ['delayMs', 'remaining', 'callsPerSecond'] as const;

/** Parses and validates the JSON body of `/control/fault`. */
export function parseFault(text: string): Either<FaultFailure, Fault> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Left({ kind: 'FaultInvalid', message: 'the body is not valid JSON' });
  }
  const fault = (value ?? {}) as Fault;
  const modes = Object.values(FaultMode);
  if (!modes.includes(fault.mode)) {
    const message = `mode: found ${String(fault.mode)}, allowed: ${modes.join(', ')}`;
    return Left({ kind: 'FaultInvalid', message });
  }
  const invalidField = NUMERIC_FIELDS.find(
    (name) => fault[name] !== undefined && !(Number(fault[name]) >= 0),
  );
  if (invalidField === undefined) return Right(fault);
  return Left({
    kind: 'FaultInvalid',
    message: `${invalidField}: found ${String(fault[invalidField])}, allowed: a number of at least 0`,
  });
}

/** The fault in force and the number of calls that it still affects. */
export interface FaultState {
  set(fault: Fault): void;
  /** Returns the fault if it affects a call on this key, and counts the call; undefined if not. */
  takeFor(key: string, isWrite: boolean): Fault | undefined;
  /** Takes a token from the rate limit of the `limit` fault; false when none is left. */
  takeLimitToken(): boolean;
}

/** Creates a state in which no fault is in force. */
export function createFaultState(): FaultState {
  let current: Fault = { mode: FaultMode.None };
  let remaining = Infinity;
  let limit: CallBudget | undefined;
  return {
    set: (fault) => {
      current = fault;
      remaining = fault.remaining ?? Infinity;
      limit = createCallBudget(fault.callsPerSecond ?? 0, getMonotonicMs);
    },
    takeFor: (key, isWrite) => {
      if (current.mode === FaultMode.None || remaining < 1) return undefined;
      if (current.mode === FaultMode.LoseAnswer && !isWrite) return undefined;
      if (!key.startsWith(current.keyPrefix ?? '')) return undefined;
      remaining -= 1;
      return current;
    },
    takeLimitToken: () => limit?.take() ?? true,
  };
}

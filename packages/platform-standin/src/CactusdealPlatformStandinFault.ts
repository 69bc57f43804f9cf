import { type CallBudget, createCallBudget } from '@cactusdeal/platform';
import { type Failure, getMonotonicMs } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';

/** How the stand-in misbehaves. */
export const FaultMode = {
  None: 'none',
  /** Answers 503 and cuts what is waiting; nothing takes effect. */
  Down: 'down',
  /** Takes each call and never answers; nothing takes effect. */
  Silent: 'silent',
  /** Waits before each call takes effect. */
  Slow: 'slow',
  /** A write takes effect, then its connection is destroyed. */
  LoseAnswer: 'loseAnswer',
  /** Refuses calls beyond a rate with status 429. */
  Limit: 'limit',
} as const;
export type FaultMode = (typeof FaultMode)[keyof typeof FaultMode];

/** A fault as commanded, over HTTP as JSON. */
export interface Fault {
  readonly mode: FaultMode;
  /** For `slow`: milliseconds before a call takes effect. */
  readonly delayMs?: number;
  /** Calls that the fault still meets; unlimited when absent. */
  readonly remaining?: number;
  /** For `limit`. */
  readonly callsPerSecond?: number;
  /** Only calls on keys with this prefix; all calls, those on leases included, when absent. */
  readonly keyPrefix?: string;
}

export type FaultFailure = Failure<'FaultInvalid'>;

const NUMBERS = ['delayMs', 'remaining', 'callsPerSecond'] as const;

/** Parses the JSON body of a fault command. */
export function parseFault(text: string): Either<FaultFailure, Fault> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Left({ kind: 'FaultInvalid', message: 'the body is no JSON' });
  }
  const fault = (value ?? {}) as Fault;
  const modes = Object.values(FaultMode);
  if (!modes.includes(fault.mode)) {
    const message = `mode: found ${String(fault.mode)}, allowed: ${modes.join(', ')}`;
    return Left({ kind: 'FaultInvalid', message });
  }
  const wrong = NUMBERS.find((name) => fault[name] !== undefined && !(Number(fault[name]) >= 0));
  if (wrong === undefined) return Right(fault);
  return Left({ kind: 'FaultInvalid', message: `${wrong}: allowed is a number from 0` });
}

/** The fault in force, which counts down what remains of it. */
export interface FaultState {
  set(fault: Fault): void;
  /** Uses the fault once when it meets a call on this key; undefined when it does not. */
  use(key: string, isWrite: boolean): Fault | undefined;
  /** Takes one call from the rate of the `limit` fault; false when none is left. */
  takeFromLimit(): boolean;
}

/** Creates a state without a fault. */
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
    use: (key, isWrite) => {
      if (current.mode === FaultMode.None || remaining < 1) return undefined;
      if (current.mode === FaultMode.LoseAnswer && !isWrite) return undefined;
      if (!key.startsWith(current.keyPrefix ?? '')) return undefined;
      remaining -= 1;
      return current;
    },
    takeFromLimit: () => limit?.take() ?? true,
  };
}

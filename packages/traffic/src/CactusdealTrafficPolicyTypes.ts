import type { Effect, Rank } from '@cactusdeal/schema';
import type { Either } from 'purify-ts';
import type { Refusal } from './CactusdealTrafficTypes.js';

/** What a gate needs to know of a call in order to place it. */
export interface AdmissionRequest {
  readonly className: string;
  readonly rank: Rank;
  /** Guaranteed part of the slots, 0 to 1. */
  readonly share: number;
  readonly worth: number;
  /** When the answer is no longer wanted, in milliseconds by the gate's clock. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** A slot of the upstream, held until released; releasing twice does nothing. */
export interface Slot {
  readonly queuedMs: number;
  release(): void;
}

/** Decides which call gets the next slot of the one upstream behind this gate. */
export interface GateQueue {
  admit(request: AdmissionRequest): Promise<Either<Refusal, Slot>>;
  setSlots(slots: number): void;
  getGauges(): { readonly slots: number; readonly inUse: number; readonly queued: number };
  /** Refuses what waits as not run, and what comes later. */
  close(): void;
}

/** A claimed idempotency key: exactly one attempt may be sent for it. */
export interface ClaimTicket {
  /** Records that the upstream answered, lazily; never fails the call. */
  complete(status: number): void;
  /**
   * Gives the key back; only where no byte can have reached the upstream's code. Resolves once the
   * key is free, or after a bounded time.
   */
  abandon(): Promise<void>;
}

/** Claims idempotency keys in the platform before an atMostOnce call is sent. */
export interface Claims {
  claim(request: {
    readonly service: string;
    readonly key: string;
    readonly deadlineAtMs: number;
    readonly signal: AbortSignal;
  }): Promise<Either<Refusal, ClaimTicket>>;
  close(): Promise<void>;
}

/** Keeps requests that crash upstreams away from them. */
export interface Quarantine {
  /** A refusal when the fingerprint is quarantined. */
  check(fingerprint: string): Refusal | undefined;
  /** Told of each call that was in flight when an upstream crashed (connection lost and upstream unreachable). */
  recordCrash(fingerprint: string): void;
  recordSuccess(fingerprint: string): void;
  list(): readonly {
    readonly fingerprint: string;
    readonly untilMs: number;
    readonly crashes: number;
  }[];
  close(): void;
}
export type { Effect };

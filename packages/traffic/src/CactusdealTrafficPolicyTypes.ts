import type { Effect, Rank } from '@cactusdeal/schema';
import type { Either } from 'purify-ts';
import type { Refusal } from './CactusdealTrafficTypes.js';

/** The properties of a call that decide its admission at a gate. */
export interface AdmissionRequest {
  readonly className: string;
  readonly rank: Rank;
  /** Guaranteed fraction of the slots, 0 to 1. */
  readonly share: number;
  readonly worth: number;
  /** Deadline in milliseconds of the gate's clock. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** A slot of the upstream, held until it is released; `release` is idempotent. */
export interface Slot {
  readonly queuedMs: number;
  release(): void;
}

/** Admission control of one gate: decides which call gets the next slot of its upstream. */
export interface GateQueue {
  admit(request: AdmissionRequest): Promise<Either<Refusal, Slot>>;
  setSlots(slots: number): void;
  getGauges(): { readonly slots: number; readonly inUse: number; readonly queued: number };
  /** Refuses all waiting calls and all later ones as not run. */
  close(): void;
}

/** A claimed idempotency key, which permits exactly one attempt to be sent. */
export interface ClaimTicket {
  /** Records the upstream's HTTP status in the background; never fails the call. */
  complete(status: number): void;
  /**
   * Releases the key, so that another attempt may claim it; only allowed if no byte can have reached
   * the upstream's code. Resolves once the key is free, or after a bounded time.
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

export type { Effect };

import type { Random } from '@cactusdeal/shared';

/** A kind of simulated call. */
export interface CallKind {
  readonly name: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Latency target: time within which an answer has its full worth, in milliseconds. */
  readonly targetMs: number;
  /** Time after which the caller stops waiting, in milliseconds. */
  readonly deadlineMs: number;
  /** Worth of an answer within the target. */
  readonly worth: number;
  /** Worth of an answer after the target and before the deadline. */
  readonly lateWorth: number;
  /** Mean service time at an upstream with a slow factor of 1, in milliseconds. */
  readonly serviceMs: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly spread: number;
  /** Not used; the rate follows from the load. */
  readonly perSecond: number;
}

/** A simulated upstream. */
export interface SimulatedUpstream {
  readonly id: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly slots: number;
  /** Multiplies the service time of each call. */
  readonly slowFactor: number;
}

/** A simulated call. */
export interface SimulatedCall {
  readonly kind: CallKind;
  readonly dataCentre: string;
  readonly firstAtMs: number;
  readonly deadlineAtMs: number;
  /** Service time at an upstream with a slow factor of 1, drawn once per call; in milliseconds. */
  readonly baseServiceMs: number;
  /** Tries that the caller has made. */
  tries: number;
  /** Whether the caller has got an answer or given up. */
  hasEnded: boolean;
}

/** Virtual time with scheduled events. */
export interface Timeline {
  getNowMs(): number;
  schedule(delayMs: number, run: () => void): void;
}

/** What the simulation offers to a policy. */
export interface Simulation {
  readonly timeline: Timeline;
  readonly random: Random;
  readonly upstreams: readonly SimulatedUpstream[];
  /** Service time of a call at an upstream, in milliseconds. */
  computeServiceMs(call: SimulatedCall, upstream: SimulatedUpstream): number;
  /** The caller receives an answer. */
  answer(call: SimulatedCall): void;
  /** The caller is told that the call was not run and when to retry. */
  refuse(call: SimulatedCall, retryAfterMs: number): void;
}

/** A policy for balancing, queueing and refusing calls. */
export interface OverloadPolicy {
  readonly name: string;
  readonly create: (simulation: Simulation) => { submit(call: SimulatedCall): void };
  /** Most retries of a caller after its first try. */
  readonly retries: number;
}

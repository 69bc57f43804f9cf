import type { Random } from '@cactusdeal/shared';

/** One kind of call, as callers make it. */
export interface CallKind {
  readonly name: string;
  readonly service: string;
  readonly priority: number;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly targetMs: number;
  /** Time after which the caller leaves, in milliseconds. */
  readonly deadlineMs: number;
  readonly worth: number;
  readonly lateWorth: number;
  /** Mean time in an upstream of speed 1, in milliseconds. */
  readonly serviceMs: number;
  /** Spread of the logarithm of that time. */
  readonly spread: number;
  /** Calls a second in each data centre at a load of 1. */
  readonly perSecond: number;
}

/** One upstream with its gate. */
export interface UpstreamPlan {
  readonly id: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly slots: number;
  /** Calls take this many times the mean. */
  readonly slowness: number;
}

/** One call under way. */
export interface SimulatedCall {
  readonly kind: CallKind;
  readonly dataCentre: string;
  readonly firstAtMs: number;
  readonly deadlineAtMs: number;
  /** Time in an upstream of speed 1, drawn once. */
  readonly workMs: number;
  tries: number;
  /** The call has reached its end for its caller. */
  isOver: boolean;
}

/** Virtual time: things that are due, in order. */
export interface Timeline {
  getNowMs(): number;
  schedule(delayMs: number, run: () => void): void;
}

/** What the world offers to a policy. */
export interface World {
  readonly timeline: Timeline;
  readonly random: Random;
  readonly upstreams: readonly UpstreamPlan[];
  /** Time that a call takes in an upstream. */
  computeServiceMs(call: SimulatedCall, upstream: UpstreamPlan): number;
  /** An answer came back. */
  answer(call: SimulatedCall): void;
  /** The caller is told that the call was not run, and when to come again. */
  refuse(call: SimulatedCall, retryAfterMs: number): void;
}

/** A way to place calls, to let them wait and to turn them away. */
export interface OverloadPolicy {
  readonly name: string;
  readonly create: (world: World) => { submit(call: SimulatedCall): void };
  /** Tries that a caller makes after its first. */
  readonly retries: number;
}

import type { AdmissionRequest, createAdmission } from '../CactusdealRelayAdmission.js';
import type { Choice, ChoiceInput } from '../CactusdealRelayBalancer.js';
import type { FailureRate } from '../CactusdealRelayFailureRate.js';
import type { KnownGate } from '../CactusdealRelayKnownGate.js';
import type { GateReport, Member } from '../CactusdealRelayTypes.js';
import type { ServiceTimes } from '../CactusdealRelayServiceTimes.js';

/** A fleet whose upstreams and demand are uneven. */
export interface UnevenOptions {
  /** Hosts, each with an entry; the first `gates` of them also have a gate of the service. */
  readonly hosts: number;
  readonly gates: number;
  readonly slots: number;
  readonly dataCentres: number;
  /** Mean demand, as a multiple of what all upstreams can serve at their mean speed. */
  readonly load: number;
  /** Least and greatest service time of an upstream, as multiples of the mean. */
  readonly slowFactors: readonly [min: number, max: number];
  /** Fraction of the upstreams that are slowed at any moment. */
  readonly slowedFraction: number;
  /** Rise and fall of the demand of a data centre, as a fraction of its mean. */
  readonly waveFraction: number;
  /** Time after which each upstream is replaced by a cold one once, in milliseconds; 0 for never. */
  readonly coldStartsWithinMs: number;
  /** Number of upstreams that fail at once whatever they are sent. */
  readonly failingGates: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Chooses the gate for a call; the product's own choice by default. */
  readonly choose?: (input: ChoiceInput) => Choice;
}

/** Fractions of all calls, and times in milliseconds. */
export interface UnevenReport {
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly meanMs: number;
  readonly p95Ms: number;
  /** Fraction of the calls that waited while a gate of their data centre had a free slot. */
  readonly waitedInVain: number;
  /** Fraction of the calls that were sent to another data centre. */
  readonly remote: number;
}

export interface UnevenCall extends AdmissionRequest {
  readonly workMs: number;
  readonly host: UnevenHost;
  readonly startedAtMs: number;
  readonly tried: Set<string>;
  sentAtMs: number;
  arrivedAtMs: number;
}

export interface UnevenGate {
  readonly member: Member;
  readonly slowFactor: number;
  readonly isFailing: boolean;
  readonly admission: ReturnType<typeof createAdmission<UnevenCall>>;
  readonly times: ServiceTimes;
  /** Its times without the slowness of a cold start. */
  readonly usualTimes: ServiceTimes;
  /** Entries that receive the gate's reports. */
  readonly listeners: Listener[];
  readonly failureRate: FailureRate;
  slowedUntilMs: number;
  coldUntilMs: number;
}

export interface Listener {
  readonly known: KnownGate;
  readonly isLocal: boolean;
  lastReported: GateReport;
}

export interface UnevenHost {
  readonly member: Member;
  readonly ownGate: UnevenGate | undefined;
  /** Gates to which its daemon keeps links. */
  readonly links: Map<string, { readonly gate: UnevenGate; readonly listener: Listener }>;
}

import { getMonotonicMs, type Random, waitMs } from '@cactusdeal/shared';
import type { GateQueue, Refusal, Slot } from '@cactusdeal/traffic';
import type { Arrival, CallOutcome } from './CactusdealBenchLoadTypes.js';
import type { TrafficClass } from './CactusdealBenchFloodScenario.js';

/**
 * A policy under test: the queue discipline, the choice of a gate and the retries after a refusal.
 */
export interface FloodPolicy {
  readonly name: string;
  readonly createQueue: () => GateQueue;
  readonly pickGate: (gates: readonly FloodGate[], random: Random) => FloodGate;
  /**
   * Backoff in milliseconds after `attempts` refused attempts; undefined means no further attempt.
   */
  readonly getRetryDelayMs: (attempts: number, refusal: Refusal) => number | undefined;
}

/** A gate's queue in front of a simulated upstream, with the slot usage that was recorded there. */
export interface FloodGate {
  readonly queue: GateQueue;
  /** One entry for each call that occupied a slot. */
  readonly occupancies: SlotOccupancy[];
  inFlight: number;
}

/** The time during which one call occupied a slot, in milliseconds of the monotonic clock. */
export interface SlotOccupancy {
  readonly className: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Whether the call ended before its deadline. */
  readonly isInTime: boolean;
}

/** Creates `count` idle gates with the policy's queue. */
export function createFloodGates(policy: FloodPolicy, count: number): FloodGate[] {
  return Array.from({ length: count }, () => ({
    queue: policy.createQueue(),
    occupancies: [],
    inFlight: 0,
  }));
}

/**
 * Simulates one call: queueing at a gate, service, and retries after refusals until the deadline.
 */
export async function sendFloodCall(
  policy: FloodPolicy,
  gates: readonly FloodGate[],
  trafficClass: TrafficClass,
  arrival: Arrival,
  random: Random,
): Promise<CallOutcome> {
  const deadlineAtMs = getMonotonicMs() + arrival.loadClass.deadlineMs;
  const serviceMs = pickServiceMs(trafficClass.serviceMs, random);
  for (let attempts = 1; ; attempts += 1) {
    const gate = policy.pickGate(gates, random);
    const result = await sendToGate(gate, trafficClass, deadlineAtMs, serviceMs);
    if (!('kind' in result)) return result;
    const retryDelayMs = policy.getRetryDelayMs(attempts, result);
    const isLastAttempt =
      retryDelayMs === undefined || getMonotonicMs() + retryDelayMs >= deadlineAtMs;
    if (isLastAttempt) return { label: result.kind, isSuccess: false };
    await waitMs(retryDelayMs);
  }
}

async function sendToGate(
  gate: FloodGate,
  trafficClass: TrafficClass,
  deadlineAtMs: number,
  serviceMs: number,
): Promise<CallOutcome | Refusal> {
  Object.assign(gate, { inFlight: gate.inFlight + 1 });
  const { name: className, rank, share, worth } = trafficClass;
  const { signal } = new AbortController();
  const admitted = await gate.queue.admit({ className, rank, share, worth, deadlineAtMs, signal });
  const result = await admitted.caseOf<Promise<CallOutcome | Refusal>>({
    Left: (refusal) => Promise.resolve(refusal),
    Right: (slot) => serveCall(gate, trafficClass.name, deadlineAtMs, serviceMs, slot),
  });
  Object.assign(gate, { inFlight: gate.inFlight - 1 });
  return result;
}

async function serveCall(
  gate: FloodGate,
  className: string,
  deadlineAtMs: number,
  serviceMs: number,
  slot: Slot,
): Promise<CallOutcome> {
  const startedAtMs = getMonotonicMs();
  await waitMs(serviceMs);
  const endedAtMs = getMonotonicMs();
  slot.release();
  const isSuccess = endedAtMs <= deadlineAtMs;
  gate.occupancies.push({ className, startedAtMs, endedAtMs, isInTime: isSuccess });
  return { label: isSuccess ? 'ok' : 'late', isSuccess };
}

/** Draws a service time: half of the mean is constant, the other half exponentially distributed. */
function pickServiceMs(meanMs: number, random: Random): number {
  return meanMs / 2 - (Math.log(1 - random()) * meanMs) / 2;
}

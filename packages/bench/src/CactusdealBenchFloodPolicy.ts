import { getMonotonicMs, type Random, waitMs } from '@cactusdeal/shared';
import type { GateQueue, Refusal, Slot } from '@cactusdeal/traffic';
import type { Arrival, CallOutcome } from './CactusdealBenchLoadTypes.js';
import type { FloodClass } from './CactusdealBenchFloodScenario.js';

/** A way to place calls: which gate, in what order there, and what follows a refusal. */
export interface FloodPolicy {
  readonly name: string;
  readonly createQueue: () => GateQueue;
  readonly pickGate: (gates: readonly FloodGate[], random: Random) => FloodGate;
  /** Time before the attempt after `attempts` refused ones; undefined ends the call. */
  readonly getRetryMs: (attempts: number, refusal: Refusal) => number | undefined;
}

/** A gate with its simulated upstream, and what it measured by itself. */
export interface FloodGate {
  readonly queue: GateQueue;
  /** Times that slots were held. */
  readonly holds: SlotHold[];
  inFlight: number;
}

/** A slot held by one call, in milliseconds of the monotonic clock. */
export interface SlotHold {
  readonly className: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Whether the answer came in time. */
  readonly isUseful: boolean;
}

/** Creates the gates of one run. */
export function createGates(policy: FloodPolicy, count: number): FloodGate[] {
  return Array.from({ length: count }, () => ({
    queue: policy.createQueue(),
    holds: [],
    inFlight: 0,
  }));
}

/** Makes one call against the gates: queue, simulated service, retries, until its deadline. */
export async function sendFloodCall(
  policy: FloodPolicy,
  gates: readonly FloodGate[],
  floodClass: FloodClass,
  arrival: Arrival,
  random: Random,
): Promise<CallOutcome> {
  const deadlineAtMs = getMonotonicMs() + arrival.loadClass.deadlineMs;
  const serviceMs = pickServiceMs(floodClass.serviceMs, random);
  for (let attempts = 1; ; attempts += 1) {
    const gate = policy.pickGate(gates, random);
    const ending = await tryCall(gate, floodClass, deadlineAtMs, serviceMs);
    if (!('kind' in ending)) return ending;
    const retryMs = policy.getRetryMs(attempts, ending);
    const isPointless = retryMs === undefined || getMonotonicMs() + retryMs >= deadlineAtMs;
    if (isPointless) return { label: ending.kind, isSuccess: false };
    await waitMs(retryMs);
  }
}

async function tryCall(
  gate: FloodGate,
  floodClass: FloodClass,
  deadlineAtMs: number,
  serviceMs: number,
): Promise<CallOutcome | Refusal> {
  Object.assign(gate, { inFlight: gate.inFlight + 1 });
  const { name: className, rank, share, worth } = floodClass;
  const { signal } = new AbortController();
  const admitted = await gate.queue.admit({ className, rank, share, worth, deadlineAtMs, signal });
  const ending = await admitted.caseOf<Promise<CallOutcome | Refusal>>({
    Left: (refusal) => Promise.resolve(refusal),
    Right: (slot) => serveCall(gate, floodClass.name, deadlineAtMs, serviceMs, slot),
  });
  Object.assign(gate, { inFlight: gate.inFlight - 1 });
  return ending;
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
  gate.holds.push({ className, startedAtMs, endedAtMs, isUseful: isSuccess });
  return { label: isSuccess ? 'ok' : 'late', isSuccess };
}

/** Half of the time is fixed, half exponential. */
function pickServiceMs(meanMs: number, random: Random): number {
  return meanMs / 2 - (Math.log(1 - random()) * meanMs) / 2;
}

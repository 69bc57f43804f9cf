import type { Rank } from '@cactusdeal/schema';
import { createGateQueue } from '../index.js';
import { createVirtualTime } from './CactusdealTrafficVirtualTime.js';

/** A simulated call; times in milliseconds of virtual time. */
export interface SimulatedCall {
  readonly atMs: number;
  readonly className: string;
  readonly rank: Rank;
  readonly share: number;
  readonly worth: number;
  readonly timeoutMs: number;
  readonly serviceMs: number;
  readonly cancelAfterMs?: number;
}

export interface SimulationOptions {
  readonly slots: number;
  readonly queueLimit: number;
  readonly calls: readonly SimulatedCall[];
  readonly slotChanges?: readonly { readonly atMs: number; readonly slots: number }[];
}

/** The outcome of a simulated call; the times are undefined if it did not run. */
export interface SimulatedOutcome {
  readonly call: SimulatedCall;
  readonly results: string[];
  startedAtMs?: number;
  endedAtMs?: number;
}

/** Gauges of the queue after an event, and the running calls as counted by the upstream. */
export interface Observation {
  readonly slots: number;
  readonly inUse: number;
  readonly queued: number;
  readonly running: number;
}

export interface SimulationResult {
  readonly outcomes: readonly SimulatedOutcome[];
  readonly observations: readonly Observation[];
}

/** Runs calls against a gate queue in virtual time until no event is left. */
export async function runSimulation(options: SimulationOptions): Promise<SimulationResult> {
  let running = 0;
  const time = createVirtualTime();
  const { clock, schedule } = time;
  const observations: Observation[] = [];
  const queue = createGateQueue({
    slots: options.slots,
    getQueueLimit: () => options.queueLimit,
    clock,
    schedule,
  });
  const outcomes = options.calls.map((call): SimulatedOutcome => ({ call, results: [] }));
  outcomes.forEach((outcome) => schedule(() => runCall(outcome), outcome.call.atMs));
  options.slotChanges?.forEach(({ atMs, slots }) => schedule(() => queue.setSlots(slots), atMs));

  async function runCall(outcome: SimulatedOutcome): Promise<void> {
    const { call } = outcome;
    const controller = new AbortController();
    const { cancelAfterMs, timeoutMs, serviceMs, ...request } = call;
    if (cancelAfterMs !== undefined) schedule(() => controller.abort(), cancelAfterMs);
    const deadlineAtMs = clock() + timeoutMs;
    const result = await queue.admit({ ...request, deadlineAtMs, signal: controller.signal });
    outcome.results.push(result.caseOf({ Left: ({ kind }) => kind, Right: () => 'ran' }));
    result.ifRight((slot) => {
      running += 1;
      Object.assign(outcome, { startedAtMs: clock() });
      schedule(() => {
        running -= 1;
        Object.assign(outcome, { endedAtMs: clock() });
        slot.release();
        slot.release();
      }, serviceMs);
    });
  }

  await time.run(() => {
    const gauges = queue.getGauges();
    observations.push({ ...gauges, running });
  });
  queue.close();
  return { outcomes, observations };
}

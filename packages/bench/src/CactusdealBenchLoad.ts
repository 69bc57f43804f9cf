import {
  createSeededRandom,
  formatError,
  getMonotonicMs,
  type Random,
  waitMs,
} from '@cactusdeal/shared';
import { ClassRecorder, type RecordedClass } from './CactusdealBenchLoadRecorder.js';
import type { Arrival, CallOutcome, LoadClass, LoadResult } from './CactusdealBenchLoadTypes.js';

/** An open-loop load: its classes, length, seed and the function that makes a call. */
export interface LoadOptions {
  readonly classes: readonly LoadClass[];
  readonly durationMs: number;
  readonly seed: number;
  /** Makes one call; a rejection counts as a failed call, with the error's text as its label. */
  readonly send: (arrival: Arrival) => Promise<CallOutcome>;
}

/**
 * Draws the arrival times of all classes as Poisson processes, sorted by time; the same seed gives
 * the same arrivals.
 */
export function planArrivals(
  classes: readonly LoadClass[],
  durationMs: number,
  random: Random,
): Arrival[] {
  const arrivals = classes.flatMap((loadClass) => planClassArrivals(loadClass, durationMs, random));
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}

function planClassArrivals(loadClass: LoadClass, durationMs: number, random: Random): Arrival[] {
  const meanIntervalMs = 1_000 / loadClass.callsPerSecond;
  const drawIntervalMs = (): number => -Math.log(1 - random()) * meanIntervalMs;
  const arrivals: Arrival[] = [];
  for (let atMs = drawIntervalMs(); atMs < durationMs; atMs += drawIntervalMs()) {
    arrivals.push({ atMs, index: arrivals.length, loadClass });
  }
  return arrivals;
}

/**
 * Runs an open-loop load: each call is sent at its scheduled time, whether or not earlier calls were
 * answered. Latency counts from the scheduled time, which avoids coordinated omission (Gil Tene).
 * Resolves when all calls have ended.
 */
export async function recordLoad(options: LoadOptions): Promise<RecordedClass[]> {
  const { classes, durationMs, seed } = options;
  const recorders = new Map(classes.map(({ name }) => [name, new ClassRecorder(name)]));
  const calls = new Set<Promise<void>>();
  const startedAtMs = getMonotonicMs();
  for (const arrival of planArrivals(classes, durationMs, createSeededRandom(seed))) {
    const scheduledAtMs = startedAtMs + arrival.atMs;
    const waitTimeMs = scheduledAtMs - getMonotonicMs();
    if (waitTimeMs > 0) await waitMs(waitTimeMs);
    const recorder = recorders.get(arrival.loadClass.name) as ClassRecorder;
    const call = recordCall(arrival, scheduledAtMs, recorder, options.send);
    calls.add(call);
    void call.then(() => calls.delete(call));
  }
  await Promise.all(calls);
  return [...recorders.values()].map((recorder) => recorder.getRecorded());
}

async function recordCall(
  arrival: Arrival,
  scheduledAtMs: number,
  recorder: ClassRecorder,
  send: LoadOptions['send'],
): Promise<void> {
  recorder.recordSent(getMonotonicMs() - scheduledAtMs);
  const outcome = await send(arrival).catch((caught: unknown): CallOutcome => ({
    label: formatError(caught),
    isSuccess: false,
  }));
  recorder.recordOutcome(outcome, getMonotonicMs() - scheduledAtMs);
}

/** Merges the recordings of one or more processes that shared a load. */
export function mergeRecorded(
  processes: readonly (readonly RecordedClass[])[],
  durationMs: number,
): LoadResult {
  const recorders = new Map<string, ClassRecorder>();
  processes.flat().forEach((recorded) => {
    const recorder = recorders.get(recorded.name) ?? new ClassRecorder(recorded.name);
    recorder.merge(recorded);
    recorders.set(recorded.name, recorder);
  });
  const classes = [...recorders.values()].map((recorder) => recorder.summarize(durationMs));
  return { durationMs, classes };
}

/** Runs a load from this process and summarises each class. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  return mergeRecorded([await recordLoad(options)], options.durationMs);
}

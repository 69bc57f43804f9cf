import {
  createSeededRandom,
  formatCaught,
  getMonotonicMs,
  type Random,
  waitMs,
} from '@cactusdeal/shared';
import { ClassRecorder, type RecordedClass } from './CactusdealBenchLoadRecorder.js';
import type { Arrival, CallEnding, LoadClass, LoadResult } from './CactusdealBenchLoadTypes.js';

/** A load and how its calls are made. */
export interface LoadOptions {
  readonly classes: readonly LoadClass[];
  readonly durationMs: number;
  readonly seed: number;
  /** Makes one call; a rejection counts as an ending of its own. */
  readonly send: (arrival: Arrival) => Promise<CallEnding>;
}

/** Plans the arrivals of all classes before the load begins; the same for the same seed. */
export function planArrivals(
  classes: readonly LoadClass[],
  durationMs: number,
  random: Random,
): Arrival[] {
  const arrivals = classes.flatMap((loadClass) => planClass(loadClass, durationMs, random));
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}

function planClass(loadClass: LoadClass, durationMs: number, random: Random): Arrival[] {
  const meanMs = 1_000 / loadClass.callsPerSecond;
  const drawMs = (): number => -Math.log(1 - random()) * meanMs;
  const arrivals: Arrival[] = [];
  for (let atMs = drawMs(); atMs < durationMs; atMs += drawMs()) {
    arrivals.push({ atMs, index: arrivals.length, loadClass });
  }
  return arrivals;
}

/**
 * Runs an open loop: calls leave at their planned times however late answers are, and each latency
 * counts from the planned time (Tene's coordinated omission). Resolves when all calls have ended.
 */
export async function recordLoad(options: LoadOptions): Promise<RecordedClass[]> {
  const { classes, durationMs, seed } = options;
  const recorders = new Map(classes.map(({ name }) => [name, new ClassRecorder(name)]));
  const calls = new Set<Promise<void>>();
  const startedAtMs = getMonotonicMs();
  for (const arrival of planArrivals(classes, durationMs, createSeededRandom(seed))) {
    const dueMs = startedAtMs + arrival.atMs;
    const aheadMs = dueMs - getMonotonicMs();
    if (aheadMs > 0) await waitMs(aheadMs);
    const recorder = recorders.get(arrival.loadClass.name) as ClassRecorder;
    const call = recordCall(arrival, dueMs, recorder, options.send);
    calls.add(call);
    void call.then(() => calls.delete(call));
  }
  await Promise.all(calls);
  return [...recorders.values()].map((recorder) => recorder.getRecorded());
}

async function recordCall(
  arrival: Arrival,
  dueMs: number,
  recorder: ClassRecorder,
  send: LoadOptions['send'],
): Promise<void> {
  recorder.recordSent(getMonotonicMs() - dueMs);
  const ending = await send(arrival).catch((caught: unknown): CallEnding => ({
    label: formatCaught(caught),
    isGood: false,
  }));
  recorder.recordEnding(ending, getMonotonicMs() - dueMs);
}

/** Merges what one or more processes recorded of the same load. */
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

/** Runs a load from this process. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  return mergeRecorded([await recordLoad(options)], options.durationMs);
}

import { createSeededRandom, getMonotonicMs, type Random, waitMs } from '@cactusdeal/shared';

/** A class of calls that arrive at random, independently of when earlier calls end. */
export interface LoadClass<T> {
  readonly name: string;
  /** Mean arrival rate. */
  readonly callsPerSecond: number;
  /** Makes one call; `index` counts the calls of this class from 0. */
  send(index: number, random: Random): Promise<T>;
}

/** Result of one call and the name of its class. */
export interface LoadResult<T> {
  readonly className: string;
  readonly result: T;
}

interface Arrival<T> {
  /** Time from the start of the load at which the call is sent. */
  readonly dueAtMs: number;
  readonly index: number;
  readonly loadClass: LoadClass<T>;
}

/**
 * Generates open-loop load with Poisson arrivals. Resolves when all calls have ended; rejects when a
 * `send` rejects.
 */
export async function runLoad<T>(options: {
  readonly classes: readonly LoadClass<T>[];
  readonly durationMs: number;
  readonly seed: number;
}): Promise<LoadResult<T>[]> {
  const random = createSeededRandom(options.seed);
  const arrivals = options.classes.flatMap((loadClass) =>
    planArrivals(loadClass, options.durationMs, random),
  );
  arrivals.sort((left, right) => left.dueAtMs - right.dueAtMs);
  const startMs = getMonotonicMs();
  const calls: Promise<LoadResult<T>>[] = [];
  for (const { dueAtMs, index, loadClass } of arrivals) {
    const remainingMs = startMs + dueAtMs - getMonotonicMs();
    if (remainingMs > 1) await waitMs(remainingMs);
    const call = loadClass.send(index, random);
    calls.push(call.then((result) => ({ className: loadClass.name, result })));
  }
  return Promise.all(calls);
}

function planArrivals<T>(
  loadClass: LoadClass<T>,
  durationMs: number,
  random: Random,
): Arrival<T>[] {
  const arrivals: Arrival<T>[] = [];
  const meanIntervalMs = 1000 / loadClass.callsPerSecond;
  const drawIntervalMs = (): number => -Math.log(1 - random()) * meanIntervalMs;
  for (let dueAtMs = drawIntervalMs(); dueAtMs < durationMs; dueAtMs += drawIntervalMs()) {
    arrivals.push({ dueAtMs, index: arrivals.length, loadClass });
  }
  return arrivals;
}

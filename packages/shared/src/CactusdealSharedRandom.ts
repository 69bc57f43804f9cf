/* eslint-disable no-bitwise -- mulberry32 is defined on 32-bit words */
/** Returns a uniformly distributed number in [0, 1). */
export type Random = () => number;

const UINT32_RANGE = 2 ** 32;

/**
 * Creates a seeded generator (mulberry32), for reproducible tests and loads.
 */
export function createSeededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  };
}

/** Picks up to `count` items uniformly without replacement, in random order. */
export function pickRandom<T>(items: readonly T[], count: number, random: Random): T[] {
  const pool = [...items];
  const pickedCount = Math.min(count, pool.length);
  for (let index = 0; index < pickedCount; index += 1) {
    const swapIndex = index + Math.floor(random() * (pool.length - index));
    [pool[index], pool[swapIndex]] = [pool[swapIndex] as T, pool[index] as T];
  }
  return pool.slice(0, pickedCount);
}

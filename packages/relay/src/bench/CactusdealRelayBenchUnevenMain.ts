import { runUneven } from './CactusdealRelayBenchUneven.js';
import type { UnevenOptions } from './CactusdealRelayBenchUnevenTypes.js';

type Pattern = Pick<
  UnevenOptions,
  'slowFactors' | 'slowedFraction' | 'waveFraction' | 'coldStartsWithinMs' | 'failingGates'
>;

const SEEDS: readonly number[] = [1, 2];
const DURATION_MS = 29_000;
const THOUSANDTHS = 1_000;
const LOADS: readonly number[] = [0.5, 0.7, 0.9, 1.1];
const SIZES: readonly Pick<UnevenOptions, 'hosts' | 'gates' | 'slots' | 'dataCentres'>[] = [
  { hosts: 72, gates: 58, slots: 4, dataCentres: 3 },
  { hosts: 71, gates: 32, slots: 13, dataCentres: 3 },
  { hosts: 16, gates: 4, slots: 12, dataCentres: 1 },
  { hosts: 13, gates: 4, slots: 18, dataCentres: 2 },
];
const EVEN: Pattern = {
  slowFactors: [1, 1],
  slowedFraction: 0,
  waveFraction: 0,
  coldStartsWithinMs: 0,
  failingGates: 0,
};
const SPEEDS: Pattern = { ...EVEN, slowFactors: [0.625, 2] };
const PATTERNS: Readonly<Record<string, Pattern>> = {
  even: EVEN,
  speeds: SPEEDS,
  slowed: { ...EVEN, slowedFraction: 0.15 },
  waves: { ...EVEN, waveFraction: 0.55 },
  cold: { ...EVEN, coldStartsWithinMs: 20_000 },
  failing: { ...EVEN, failingGates: 1 },
  all: { ...SPEEDS, slowedFraction: 0.15, waveFraction: 0.55, coldStartsWithinMs: 20_000 },
};

/** Prints one JSON line for each size, pattern and load: means over the seeds. */
SIZES.forEach((size) => {
  Object.entries(PATTERNS).forEach(([pattern, changes]) => {
    LOADS.forEach((load) => {
      const reports = SEEDS.map((seed) =>
        runUneven({ ...size, ...changes, load, durationMs: DURATION_MS, seed }),
      );
      const means = Object.keys(reports[0] ?? {}).map((key) => [
        key,
        computeMean(reports.map((report) => report[key as keyof typeof report])),
      ]);
      const line = { ...size, pattern, load, ...Object.fromEntries(means) };
      process.stdout.write(`${JSON.stringify(line)}\n`);
    });
  });
});

function computeMean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return Math.round((sum / values.length) * THOUSANDTHS) / THOUSANDTHS;
}

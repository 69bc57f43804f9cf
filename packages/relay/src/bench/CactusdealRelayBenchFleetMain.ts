import { chooseGate } from '../CactusdealRelayBalancer.js';
import { type FleetOptions, runFleet } from './CactusdealRelayBenchFleet.js';

/** Prints one JSON line for each size, load and choice: among few gates and among all. */
const SEED = 1;
const DURATION_MS = 15_000;
const SIZES: readonly Pick<FleetOptions, 'entries' | 'gates'>[] = [
  { entries: 33, gates: 14 },
  { entries: 19, gates: 11 },
  { entries: 33, gates: 5 },
  { entries: 4, gates: 4 },
];
const LOADS: readonly number[] = [0.5, 0.7, 0.9, 1.1];
const CHOICES: readonly (readonly [name: string, choose: FleetOptions['choose']])[] = [
  ['few', chooseGate],
  ['all', (input) => chooseGate(input, (gates) => gates)],
];

SIZES.forEach((size) => {
  LOADS.forEach((load) => {
    CHOICES.forEach(([choice, choose]) => {
      const options = { ...size, load, durationMs: DURATION_MS, seed: SEED };
      const report = runFleet({ ...options, ...(choose === undefined ? {} : { choose }) });
      process.stdout.write(`${JSON.stringify({ choice, ...size, ...report })}\n`);
    });
  });
});

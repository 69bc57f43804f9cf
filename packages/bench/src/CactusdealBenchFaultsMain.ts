import { runFaults } from './CactusdealBenchFaults.js';

const DURATION_MS = Number(process.env.BENCH_DURATION_MS ?? 6_000);
const SEED = 20261204;

const { faults, drain } = await runFaults(DURATION_MS, SEED);
[...faults, { drain }].forEach((row) => process.stdout.write(`${JSON.stringify(row)}\n`));
process.stdout.write(`${JSON.stringify({ bench: 'faults', seed: SEED, faults, drain })}\n`);

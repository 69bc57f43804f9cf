import { measureClaims } from './CactusdealBenchClaims.js';

const DURATION_MS = Number(process.env.BENCH_DURATION_MS ?? 15_000);
const SEED = 20261204;

const reports = await measureClaims(DURATION_MS, SEED);
reports.forEach((row) => {
  const fields = Object.entries(row).map(([name, value]) => `${name}=${value}`);
  process.stdout.write(`${fields.join(' ')}\n`);
});
process.stdout.write(`${JSON.stringify({ bench: 'claims', seed: SEED, reports })}\n`);

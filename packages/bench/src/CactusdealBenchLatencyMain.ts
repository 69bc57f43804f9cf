import cac from 'cac';
import { measureLatency, type PathResult } from './CactusdealBenchLatency.js';

/**
 * Command `bench:latency`: measures the latency that each placement of the hops adds to a direct
 * call.
 */

const TARGET_ADDED_P99_MS = 0.85;

const cli = cac('bench:latency');
cli.option('--seed <number>', 'Seed of the random order of paths in a round', {
  default: 20_261_204,
});
cli.option('--rate <number>', 'Calls per second on each path in the paired part', { default: 60 });
cli.option('--seconds <number>', 'Duration of the paired part in seconds', { default: 30 });
cli.option(
  '--saturated-seconds <number>',
  'Duration of the saturated part of each path in seconds; 0 skips it',
  {
    default: 4,
  },
);
cli.option('--concurrency <number>', 'Calls in flight at saturation', { default: 32 });
cli.help();
const { options } = cli.parse();

if (options.help !== true) await main();

async function main(): Promise<void> {
  const paths = await measureLatency({
    seed: Number(options.seed),
    rate: Number(options.rate),
    pairedMs: Number(options.seconds) * 1000,
    saturatedMs: Number(options.saturatedSeconds) * 1000,
    concurrency: Number(options.concurrency),
  });
  for (const path of paths) process.stdout.write(`${formatPath(path)}\n`);
  const targetAddedP99Ms = TARGET_ADDED_P99_MS;
  process.stdout.write(`${JSON.stringify({ bench: 'latency', targetAddedP99Ms, paths })}\n`);
}

function formatPath({ path, latency, added, p99Difference, saturated }: PathResult): string {
  const ms = (value: number): string => `${value.toFixed(3)} ms`;
  const paired = `p50 ${ms(latency.p50)}, p99 ${ms(latency.p99)}; added p50 ${ms(added.p50)}, p99 ${ms(added.p99)}, difference of p99 ${ms(p99Difference)}`;
  if (saturated === undefined) return `${path}: ${paired}`;
  const cpu = saturated.cpuMicrosPerCall.map((value) => `${value.toFixed(0)} us`).join(' + ');
  return `${path}: ${paired}; saturated ${saturated.callsPerSecond.toFixed(0)} calls/s, p99 ${ms(saturated.latency.p99)}, CPU time per call ${cpu || 'none'}`;
}

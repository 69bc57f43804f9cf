import { runRetries } from './CactusdealRelayBenchRetries.js';

/** Command `bench:retries`: calls sent for each call wanted when the last of a chain fails them all. */

const DEPTHS = [4, 8, 16] as const;
const WANTED = 400;
const TARGET_AMPLIFICATION = 1.1;

const reports = [];
for (const depth of DEPTHS) {
  const report = await runRetries(depth, WANTED);
  const { wanted, sentAtLast, sentAtMost, amplification } = report;
  const counts = `wanted ${wanted}, sent to the last ${sentAtLast}, at most ${sentAtMost} to a level`;
  process.stdout.write(`depth ${depth}: ${counts}, ${amplification} for each (target 1.1)\n`);
  reports.push(report);
}
const targetAmplification = TARGET_AMPLIFICATION;
process.stdout.write(`${JSON.stringify({ bench: 'retries', targetAmplification, reports })}\n`);

import { runRetries } from './CactusdealRelayBenchRetries.js';

/**
 * Command `bench:retries`: requests sent for each call through a chain of services whose last one
 * fails every call.
 */

const DEPTHS = [4, 8, 16] as const;
const WANTED = 400;
const TARGET_AMPLIFICATION = 1.1;

const reports = [];
for (const depth of DEPTHS) {
  const report = await runRetries(depth, WANTED);
  const { wanted, sentAtLast, sentAtMost, amplification } = report;
  const counts = `${wanted} calls, ${sentAtLast} requests at the last service, at most ${sentAtMost} at any service`;
  process.stdout.write(
    `depth ${depth}: ${counts}, amplification ${amplification} (target ${TARGET_AMPLIFICATION})\n`,
  );
  reports.push(report);
}
const targetAmplification = TARGET_AMPLIFICATION;
process.stdout.write(`${JSON.stringify({ bench: 'retries', targetAmplification, reports })}\n`);

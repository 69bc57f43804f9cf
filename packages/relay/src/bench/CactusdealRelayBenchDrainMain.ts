import { runDrain } from './CactusdealRelayBenchDrain.js';

/** Command `bench:drain`: an upstream says that it leaves under load. */

const LOADS = [50, 200] as const;

const reports = [];
for (const callsPerSecond of LOADS) {
  const report = await runDrain({ callsPerSecond, serviceMs: 120, halfMs: 2_000 });
  const { calls, cutOff, newCalls, lastNewCallMs, running } = report;
  process.stdout.write(
    `${callsPerSecond} calls/s: ${calls} calls, ${running} ran at the word, ${newCalls} new ones after it, the last after ${lastNewCallMs} ms, ${cutOff} cut off\n`,
  );
  reports.push({ callsPerSecond, ...report });
}
process.stdout.write(`${JSON.stringify({ bench: 'drain', reports })}\n`);

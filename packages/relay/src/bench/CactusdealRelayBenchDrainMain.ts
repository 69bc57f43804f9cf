import { runDrain } from './CactusdealRelayBenchDrain.js';

/** Command `bench:drain`: an upstream drains under load. */

const LOADS = [50, 200] as const;

const reports = [];
for (const callsPerSecond of LOADS) {
  const report = await runDrain({ callsPerSecond, serviceMs: 120, phaseMs: 2_000 });
  const { calls, cutOff, newCalls, lastArrivalMs, running } = report;
  process.stdout.write(
    `${callsPerSecond} calls/s: ${calls} calls, ${running} running when the drain began, ${newCalls} new after that, the last after ${lastArrivalMs} ms, ${cutOff} cut off\n`,
  );
  reports.push({ callsPerSecond, ...report });
}
process.stdout.write(`${JSON.stringify({ bench: 'drain', reports })}\n`);

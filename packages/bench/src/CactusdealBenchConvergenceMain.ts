import { type ConvergenceResult, runConvergence } from './CactusdealBenchConvergence.js';
import { fitLine } from './CactusdealBenchStatistics.js';

const DATA_CENTRES = 4;
const DAEMONS_PER_DATA_CENTRE = [4, 8, 15];
const SERVICES = 50;
const CHANGES = 10;
const PHASE_MS = 15_000;

const results: ConvergenceResult[] = [];
for (const daemonsPerDataCentre of DAEMONS_PER_DATA_CENTRE) {
  process.stdout.write(`${DATA_CENTRES} data centres of ${daemonsPerDataCentre} daemons ...\n`);
  const result = await runConvergence({
    dataCentres: DATA_CENTRES,
    daemonsPerDataCentre,
    services: SERVICES,
    changes: CHANGES,
    phaseMs: PHASE_MS,
  });
  results.push(result);
  printResult(result);
}
process.stdout.write(`${JSON.stringify(buildReport())}\n`);

function printResult({ daemons, inForceMs, idle, busy, ...bytes }: ConvergenceResult): void {
  const rows = [
    `daemons ${daemons}`,
    `in force ms: p50 ${inForceMs.p50} p99 ${inForceMs.p99} largest ${inForceMs.largest}`,
    `control B/s per daemon: idle p50 ${idle.bytesPerSecond.p50.toFixed(0)} largest ${idle.bytesPerSecond.largest.toFixed(0)}` +
      `, with changes largest ${busy.bytesPerSecond.largest.toFixed(0)}`,
    `CPU % per daemon: idle p50 ${idle.cpuPercent.p50.toFixed(2)} largest ${idle.cpuPercent.largest.toFixed(2)}`,
    `memory MB per daemon: resident largest ${idle.residentMegabytes.largest.toFixed(0)}, proportional largest ${idle.proportionalMegabytes.largest.toFixed(0)}`,
    `platform calls per minute: idle ${idle.platformCallsPerMinute.toFixed(0)}, with changes ${busy.platformCallsPerMinute.toFixed(0)}`,
    `bytes between data centres per change: ${bytes.bytesBetweenDataCentresPerChange.toFixed(0)}, baseline (full snapshots) ${bytes.baselineBytesPerChange}`,
  ];
  process.stdout.write(`${rows.join('\n  ')}\n`);
}

function buildReport(): object {
  const fitByDaemons = (pick: (result: ConvergenceResult) => number) =>
    fitLine(results.map((result) => [result.daemons, pick(result)] as const));
  return {
    bench: 'convergence',
    targets: { inForceMs: 4000, bytesPerSecond: 4096, cpuPercent: 2.1, memoryMegabytes: 128 },
    results,
    slopesPerDaemon: {
      inForceP99Ms: fitByDaemons(({ inForceMs }) => inForceMs.p99),
      idleBytesPerSecond: fitByDaemons(({ idle }) => idle.bytesPerSecond.p50),
      idlePlatformCallsPerMinute: fitByDaemons(({ idle }) => idle.platformCallsPerMinute),
      residentMegabytes: fitByDaemons(({ idle }) => idle.residentMegabytes.p50),
      bytesBetweenDataCentresPerChange: fitByDaemons(
        ({ bytesBetweenDataCentresPerChange }) => bytesBetweenDataCentresPerChange,
      ),
    },
  };
}

import { runClusterFlood } from './CactusdealBenchFloodCluster.js';
import { type FloodReport, runFlood } from './CactusdealBenchFlood.js';

const DURATION_MS = Number(process.env.BENCH_DURATION_MS ?? 6_000);
const CLUSTER_DURATION_MS = Number(process.env.BENCH_CLUSTER_DURATION_MS ?? 10_000);
const SEED = 20261204;

function printReport(report: FloodReport): void {
  const { scenario, policy, usefulWork, wastedWork, wantedWork } = report;
  process.stdout.write(
    `${scenario} ${policy} wanted=${wantedWork} useful=${usefulWork} wasted=${wastedWork}\n`,
  );
  report.classes.forEach((row) => {
    const rates = `offered=${row.offeredPerSecond}/s good=${row.goodPerSecond}/s`;
    const times = `p50=${row.p50Ms}ms p99=${row.p99Ms}ms target=${row.targetP99Ms}ms`;
    const shares = `kept=${row.keptShare} ensured=${row.ensuredShare}`;
    process.stdout.write(`  ${row.name} ${rates} ${times} ${shares}\n`);
  });
}

const reports = await runFlood(DURATION_MS, SEED);
reports.forEach(printReport);
const clusterReports = await runClusterFlood(CLUSTER_DURATION_MS, SEED);
clusterReports.forEach((report) => process.stdout.write(`${JSON.stringify(report)}\n`));
const result = { bench: 'flood', seed: SEED, inProcess: reports, processes: clusterReports };
process.stdout.write(`${JSON.stringify(result)}\n`);

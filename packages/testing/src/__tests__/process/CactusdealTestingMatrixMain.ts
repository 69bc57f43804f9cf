import { formatCaught } from '@cactusdeal/shared';
import { type Cluster } from '../../index.js';
import { settleCluster, startMatrixCluster } from './CactusdealTestingMatrixCluster.js';
import {
  formatCell,
  MATRIX_CELLS,
  type MatrixCell,
  runCell,
} from './CactusdealTestingMatrixRun.js';

const CLUSTERS = 2;
const words = process.argv.slice(2);

interface Row {
  readonly name: string;
  readonly verdict: 'passed' | 'failed' | 'cannot occur' | 'not run';
  readonly detail: string;
}

const wanted = MATRIX_CELLS.filter(
  (cell) => words.length === 0 || words.some((word) => formatCell(cell).includes(word)),
);
const queue = wanted.map((cell, index) => ({ cell, label: `c${index}` }));
const rows = new Map<string, Row>();
await Promise.all(Array.from({ length: Math.min(CLUSTERS, queue.length) }, runQueue));
printTable();

/** Takes cells until none is left; a cluster that does not come back is replaced. */
async function runQueue(): Promise<void> {
  let cluster: Cluster | undefined;
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const { cell, label } = next;
    if (cell.impossible !== undefined) {
      record(cell, 'cannot occur', cell.impossible);
      continue;
    }
    cluster ??= await startMatrixCluster().catch(() => undefined);
    if (cluster === undefined) {
      record(cell, 'not run', 'the cluster did not start');
      continue;
    }
    const isWhole = await runOne(cluster, cell, label);
    if (!isWhole) {
      await cluster.close();
      cluster = undefined;
    }
  }
  await cluster?.close();
}

async function runOne(cluster: Cluster, cell: MatrixCell, label: string): Promise<boolean> {
  try {
    await runCell(cluster, cell, label);
    record(cell, 'passed', '');
    return true;
  } catch (caught) {
    record(cell, 'failed', formatCaught(caught).replaceAll(/\s+/g, ' '));
    return settleCluster(cluster).then(
      () => true,
      () => false,
    );
  }
}

function record(cell: MatrixCell, verdict: Row['verdict'], detail: string): void {
  const name = formatCell(cell);
  rows.set(name, { name, verdict, detail });
  process.stderr.write(`${verdict}: ${name} ${detail}\n`);
}

function printTable(): void {
  const lines = wanted.map((cell) => rows.get(formatCell(cell)));
  lines.forEach((row) => {
    if (row === undefined) return;
    process.stdout.write(
      `${row.verdict.padEnd(13)}${row.name}${row.detail && `: ${row.detail}`}\n`,
    );
  });
  const count = (verdict: Row['verdict']): number =>
    lines.filter((row) => row?.verdict === verdict).length;
  process.stdout.write(`${count('cannot occur')} cannot occur, ${count('not run')} not run\n`);
  process.stdout.write(`${count('passed')} passed, ${count('failed')} failed\n`);
  process.exitCode = count('failed') + count('not run') > 0 ? 1 : 0;
}

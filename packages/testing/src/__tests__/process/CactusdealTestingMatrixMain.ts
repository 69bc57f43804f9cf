import { formatError } from '@cactusdeal/shared';
import { type Cluster } from '../../index.js';
import { settleCluster, startMatrixCluster } from './CactusdealTestingMatrixCluster.js';
import {
  formatCell,
  MATRIX_CELLS,
  type MatrixCell,
  runCell,
} from './CactusdealTestingMatrixRun.js';

const PARALLEL_CLUSTERS = 2;
const filterWords = process.argv.slice(2);

/** One line of the printed table. */
interface VerdictRow {
  readonly name: string;
  readonly verdict: 'passed' | 'failed' | 'cannot occur' | 'not run';
  readonly detail: string;
}

const selectedCells = MATRIX_CELLS.filter(
  (cell) => filterWords.length === 0 || filterWords.some((word) => formatCell(cell).includes(word)),
);
const queue = selectedCells.map((cell, index) => ({ cell, label: `c${index}` }));
const rows = new Map<string, VerdictRow>();
await Promise.all(Array.from({ length: Math.min(PARALLEL_CLUSTERS, queue.length) }, runQueue));
printTable();

/** Runs cells from the queue until it is empty. Replaces the cluster when it cannot be settled. */
async function runQueue(): Promise<void> {
  let cluster: Cluster | undefined;
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const { cell, label } = next;
    if (cell.impossibleReason !== undefined) {
      recordVerdict(cell, 'cannot occur', cell.impossibleReason);
      continue;
    }
    cluster ??= await startMatrixCluster().catch(() => undefined);
    if (cluster === undefined) {
      recordVerdict(cell, 'not run', 'the cluster did not start');
      continue;
    }
    const isReusable = await runAndRecordCell(cluster, cell, label);
    if (!isReusable) {
      await cluster.close();
      cluster = undefined;
    }
  }
  await cluster?.close();
}

/** Runs a cell and records its verdict. Returns whether the cluster can be used for the next cell. */
async function runAndRecordCell(
  cluster: Cluster,
  cell: MatrixCell,
  label: string,
): Promise<boolean> {
  try {
    await runCell(cluster, cell, label);
    recordVerdict(cell, 'passed', '');
    return true;
  } catch (caught) {
    recordVerdict(cell, 'failed', formatError(caught).replaceAll(/\s+/g, ' '));
    return settleCluster(cluster).then(
      () => true,
      () => false,
    );
  }
}

function recordVerdict(cell: MatrixCell, verdict: VerdictRow['verdict'], detail: string): void {
  const name = formatCell(cell);
  rows.set(name, { name, verdict, detail });
  process.stderr.write(`${verdict}: ${name} ${detail}\n`);
}

function printTable(): void {
  const orderedRows = selectedCells.map((cell) => rows.get(formatCell(cell)));
  orderedRows.forEach((row) => {
    if (row === undefined) return;
    process.stdout.write(
      `${row.verdict.padEnd(13)}${row.name}${row.detail && `: ${row.detail}`}\n`,
    );
  });
  const count = (verdict: VerdictRow['verdict']): number =>
    orderedRows.filter((row) => row?.verdict === verdict).length;
  process.stdout.write(`${count('cannot occur')} cannot occur, ${count('not run')} not run\n`);
  process.stdout.write(`${count('passed')} passed, ${count('failed')} failed\n`);
  process.exitCode = count('failed') + count('not run') > 0 ? 1 : 0;
}

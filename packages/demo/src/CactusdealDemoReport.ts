import type { ClassSummary } from './CactusdealDemoCalls.js';

/** One check of the demo and the value it observed. */
export interface DemoCheck {
  readonly name: string;
  readonly passed: boolean;
  readonly seen: string;
}

/** How well a class was served before and while one class flooded. */
export interface FloodResult {
  readonly name: string;
  readonly rank: string;
  readonly isFlood: boolean;
  /** Fraction of the calls answered in time, before and during the flood. */
  readonly before: number;
  readonly during: number;
  /** Calls per second answered in time during the flood. */
  readonly inTimePerSecond: number;
}

/**
 * The four measurements (convergence, control bytes, service, flood), the checks and the verdict.
 */
export interface DemoReport {
  readonly body: string;
  readonly daemons: number;
  readonly convergence: {
    readonly changes: number;
    readonly p50Ms: number;
    readonly largestMs: number;
  };
  /** Mesh bytes between data centres, sum of both directions. */
  readonly controlBytes: {
    readonly idlePerSecond: number;
    readonly idlePerSecondAndDaemon: number;
    readonly perChange: number;
  };
  readonly service: readonly ClassSummary[];
  readonly flood: readonly FloodResult[];
  readonly checks: readonly DemoCheck[];
  readonly passed: boolean;
}

const RANKS = ['critical', 'high', 'normal', 'low'];

/** Formats the report as text tables. */
export function formatReport(report: DemoReport): string {
  const { convergence, controlBytes } = report;
  return [
    `\n1. Convergence after an accepted change, ${report.daemons} daemons, ${convergence.changes} changes`,
    formatTable(['p50 ms', 'largest ms'], [[convergence.p50Ms, convergence.largestMs]]),
    '\n2. Control bytes between data centres',
    formatTable(
      ['idle B/s', 'idle B/s per daemon', 'B per change'],
      [[controlBytes.idlePerSecond, controlBytes.idlePerSecondAndDaemon, controlBytes.perChange]],
    ),
    '\n3. Service by rank',
    formatTable(
      ['rank', 'class', 'calls', 'in time', 'not run', 'other', 'p50 ms', 'p99 ms'],
      listByRank(report.service).map(formatClassRow),
    ),
    '\n4. Calls answered in time before and during the flood of one class',
    formatTable(
      ['rank', 'class', 'before', 'during', 'in time/s'],
      listByRank(report.flood).map(formatFloodRow),
    ),
    '\nChecks',
    ...report.checks.map(formatCheck),
  ].join('\n');
}

function listByRank<T extends { readonly rank: string }>(items: readonly T[]): T[] {
  return [...items].sort((left, right) => RANKS.indexOf(left.rank) - RANKS.indexOf(right.rank));
}

function formatClassRow(item: ClassSummary): (string | number)[] {
  const { rank, name, calls, inTime, notRun, other, p50Ms, p99Ms } = item;
  return [rank, name, calls, inTime, notRun, other, p50Ms, p99Ms];
}

function formatFloodRow(item: FloodResult): (string | number)[] {
  const name = item.isFlood ? `${item.name} (flood)` : item.name;
  const percents = [item.before, item.during].map((part) => `${(part * 100).toFixed(1)} %`);
  return [item.rank, name, ...percents, item.inTimePerSecond.toFixed(1)];
}

function formatCheck({ name, passed, seen }: DemoCheck): string {
  return `  ${passed ? 'passed' : 'FAILED'} ${name}: ${seen}`;
}

function formatTable(headers: readonly string[], rows: readonly (string | number)[][]): string {
  const lines = [headers, ...rows].map((row) => row.map(String));
  const widths = headers.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines
    .map((line) => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '))
    .map((line) => `  ${line.trimEnd()}`)
    .join('\n');
}

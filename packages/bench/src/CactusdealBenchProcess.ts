import { readFileSync } from 'node:fs';

/** Processor time and memory of a process, as the kernel accounts for them. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Resident bytes with shared pages divided among the processes that share them. */
  readonly proportionalBytes: number;
}

/** Kernel clock ticks in a second, as /proc counts them. */
const TICKS_PER_SECOND = 100;
const KIBIBYTE = 1024;

/** Reads the usage of a running process. Throws when the process has ended. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name in parentheses may hold spaces; the fields after it do not.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const rollup = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
  return {
    cpuMs: (ticks * 1000) / TICKS_PER_SECOND,
    residentBytes: readField(rollup, 'Rss') * KIBIBYTE,
    proportionalBytes: readField(rollup, 'Pss') * KIBIBYTE,
  };
}

function readField(text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+) kB$`, 'm').exec(text);
  return Number(match?.[1] ?? Number.NaN);
}

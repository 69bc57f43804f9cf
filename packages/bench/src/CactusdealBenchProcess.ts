import { readFileSync } from 'node:fs';

/** Processor time and memory of a process, as the kernel reports them under /proc. */
export interface ProcessUsage {
  /** User and system time since the process started, in milliseconds. */
  readonly cpuMs: number;
  readonly residentBytes: number;
  /**
   * Proportional set size: resident bytes with each shared page divided by the number of its users.
   */
  readonly proportionalBytes: number;
}

/** Clock ticks per second (USER_HZ), the unit of processor time in /proc/PID/stat. */
const CLOCK_TICKS_PER_SECOND = 100;
const KIBIBYTE = 1024;

/** Reads the usage of a running process; throws if the process has ended. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command name, in parentheses, may contain spaces; the fields after it do not.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const rollup = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
  return {
    cpuMs: (ticks * 1000) / CLOCK_TICKS_PER_SECOND,
    residentBytes: parseKibibytes(rollup, 'Rss') * KIBIBYTE,
    proportionalBytes: parseKibibytes(rollup, 'Pss') * KIBIBYTE,
  };
}

function parseKibibytes(text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+) kB$`, 'm').exec(text);
  return Number(match?.[1] ?? Number.NaN);
}

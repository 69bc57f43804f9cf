import { readFile } from 'node:fs/promises';
import { text as readAll } from 'node:stream/consumers';
import { type Failure, formatCaught } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';

/** Why logs could not be read. */
export type LogFailure = Failure<'FileUnreadable'>;

/** One event of a daemon's log. */
export interface LogEvent {
  /** Unix milliseconds. */
  readonly atMs: number;
  readonly level: string;
  readonly event: string;
  readonly daemon: string;
  readonly fields: Readonly<Record<string, string>>;
  /** The line from its time on. */
  readonly text: string;
}

const PAIR = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Reads the events of log files, or of the standard input when none is named; other lines are passed over. */
export async function readLogEvents(
  files: readonly string[],
): Promise<Either<LogFailure, readonly LogEvent[]>> {
  try {
    const texts =
      files.length === 0
        ? [await readAll(process.stdin)]
        : await Promise.all(files.map((file) => readFile(file, 'utf8')));
    const lines = texts.flatMap((content) => content.split('\n'));
    return Right(lines.map(parseLogLine).filter((event) => event !== undefined));
  } catch (caught) {
    return Left({ kind: 'FileUnreadable', message: formatCaught(caught) });
  }
}

/** Parses one line; undefined when it is none of a daemon's. What stands before the time is left out. */
export function parseLogLine(line: string): LogEvent | undefined {
  const start = line.indexOf('time=');
  if (start < 0) return undefined;
  const text = line.slice(start);
  const { time = '', level = '', event = '', daemon = '', ...fields } = parsePairs(text);
  const atMs = Date.parse(time);
  if (event === '' || !Number.isFinite(atMs)) return undefined;
  return { atMs, level, event, daemon, fields, text };
}

function parsePairs(text: string): Record<string, string> {
  const pairs = [...text.matchAll(PAIR)].map(([, key = '', value = '']) => [
    key,
    parseValue(value),
  ]);
  return Object.fromEntries(pairs) as Record<string, string>;
}

function parseValue(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return JSON.parse(value) as string;
  } catch {
    // A line that was cut within a quoted value still tells its beginning.
    return value.slice(1);
  }
}

import { readFile } from 'node:fs/promises';
import { text as readAll } from 'node:stream/consumers';
import { type Failure, formatError } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';

/** Why a log file could not be read. */
export type LogReadFailure = Failure<'FileUnreadable'>;

/** One line of a daemon's log: an event with its fields. */
export interface LogEvent {
  /** Unix milliseconds. */
  readonly atMs: number;
  readonly level: string;
  readonly event: string;
  readonly daemon: string;
  readonly fields: Readonly<Record<string, string>>;
  /** The line from `time=` on. */
  readonly text: string;
}

const KEY_VALUE_PATTERN = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Reads the events of log files, or of standard input when no file is given; other lines are
 * skipped.
 */
export async function readLogEvents(
  files: readonly string[],
): Promise<Either<LogReadFailure, readonly LogEvent[]>> {
  try {
    const texts =
      files.length === 0
        ? [await readAll(process.stdin)]
        : await Promise.all(files.map((file) => readFile(file, 'utf8')));
    const lines = texts.flatMap((content) => content.split('\n'));
    return Right(lines.map(parseLogLine).filter((event) => event !== undefined));
  } catch (caught) {
    return Left({ kind: 'FileUnreadable', message: formatError(caught) });
  }
}

/**
 * Parses one log line, without the prefix that a log collector put before `time=`; undefined for
 * any other line.
 */
export function parseLogLine(line: string): LogEvent | undefined {
  const start = line.indexOf('time=');
  if (start < 0) return undefined;
  const text = line.slice(start);
  const { time = '', level = '', event = '', daemon = '', ...fields } = parseKeyValuePairs(text);
  const atMs = Date.parse(time);
  if (event === '' || !Number.isFinite(atMs)) return undefined;
  return { atMs, level, event, daemon, fields, text };
}

function parseKeyValuePairs(text: string): Record<string, string> {
  const pairs = [...text.matchAll(KEY_VALUE_PATTERN)].map(([, key = '', value = '']) => [
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
    // The line was truncated inside a quoted value: the part that is left is still of use.
    return value.slice(1);
  }
}

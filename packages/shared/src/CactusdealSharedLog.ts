import './CactusdealSharedLogEnable.js';
import { Roarr } from 'roarr';
import { formatCaught } from './CactusdealSharedFailure.js';

/** Values that one log line may carry. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Severity of an event; the numbers are those of `roarr`. */
export const LogLevel = { Debug: 20, Info: 30, Warn: 40, Error: 50 } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Writes one line for each event, with the fields that are common to a component. */
export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  with(fields: LogFields): Log;
}

/** The library keeps a reference to this object, so it is changed in place. */
interface RoarrState {
  write: (message: string) => void;
}

const { ROARR: roarr } = globalThis as unknown as { readonly ROARR: RoarrState };
roarr.write = () => {};

interface RoarrLine {
  readonly time: number;
  readonly message: string;
  readonly context: Record<string, unknown>;
}

/** Whether a line of the level is wanted; asked before any work is done for the line. */
let admitLine: (level: LogLevel) => boolean = () => false;

/**
 * Directs all of the process's log lines to `write`, dropping those under `minimum` and those that
 * `admit` refuses.
 */
export function startLogging(
  write: (line: string) => void,
  minimum: LogLevel,
  admit: (level: LogLevel) => boolean = () => true,
): void {
  admitLine = (level) => level >= minimum && admit(level);
  roarr.write = (message) => write(formatLine(JSON.parse(message) as RoarrLine));
}

/** Creates a log whose lines all carry `fields`. */
export function createLog(fields: LogFields = {}): Log {
  const logger = Roarr.child(fields as Record<string, string>);
  const context = (more: LogFields): Record<string, string> => more as Record<string, string>;
  return {
    debug: (event, more = {}) => {
      if (admitLine(LogLevel.Debug)) logger.debug(context(more), event);
    },
    info: (event, more = {}) => {
      if (admitLine(LogLevel.Info)) logger.info(context(more), event);
    },
    warn: (event, more = {}) => {
      if (admitLine(LogLevel.Warn)) logger.warn(context(more), event);
    },
    error: (event, more = {}) => {
      if (admitLine(LogLevel.Error)) logger.error(context(more), event);
    },
    with: (more) => createLog({ ...fields, ...more }),
  };
}

/** Creates a log that discards everything, for tests. */
export function createSilentLog(): Log {
  const ignore = (): void => {};
  const silent: Log = {
    debug: ignore,
    info: ignore,
    warn: ignore,
    error: ignore,
    with: () => silent,
  };
  return silent;
}

const LEVEL_NAMES: Readonly<Record<number, string>> = {
  20: 'debug',
  30: 'info',
  40: 'warn',
  50: 'error',
};

function formatLine(line: RoarrLine): string {
  const { logLevel, ...fields } = line.context;
  const level = LEVEL_NAMES[Number(logLevel)] ?? String(logLevel);
  const head = `time=${new Date(line.time).toISOString()} level=${level} event=${line.message}`;
  const tail = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => ` ${key}=${formatValue(value)}`);
  return head + tail.join('');
}

function formatValue(value: unknown): string {
  const text = value instanceof Error ? formatCaught(value) : String(value);
  return /[\s="]/.test(text) ? JSON.stringify(text) : text;
}

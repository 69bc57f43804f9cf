import './CactusdealSharedLogEnable.js';
import { Roarr } from 'roarr';
import { formatError } from './CactusdealSharedFailure.js';

/** Fields of a log line, by name; undefined ones are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Severity of an event; the numbers are the levels of the library `roarr`. */
export const LogLevel = { Debug: 20, Info: 30, Warn: 40, Error: 50 } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Writes a line for each event, with the event's own fields and those of the log. */
export interface Log {
  /** Writes a line at debug level; a function for the fields is called only if the line is written. */
  debug(event: string, fields?: LogFields | (() => LogFields)): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Creates a log whose lines also carry `fields`. */
  with(fields: LogFields): Log;
}

/** `roarr` keeps a reference to this object, so `write` is replaced on it and not the object. */
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

/** Whether to log a line of the level; checked before the line is formatted. */
let shouldLog: (level: LogLevel) => boolean = () => false;

/**
 * Sends all log lines of the process to `write`, except lines of a level below `minimum` and lines
 * that `admit` refuses. Before the first call, all lines are discarded.
 */
export function startLogging(
  write: (line: string) => void,
  minimum: LogLevel,
  admit: (level: LogLevel) => boolean = () => true,
): void {
  shouldLog = (level) => level >= minimum && admit(level);
  roarr.write = (message) => write(formatLine(JSON.parse(message) as RoarrLine));
}

/** Creates a log; every line carries `fields`. */
export function createLog(fields: LogFields = {}): Log {
  const logger = Roarr.child(fields as Record<string, string>);
  const context = (more: LogFields): Record<string, string> => more as Record<string, string>;
  return {
    debug: (event, more = {}) => {
      if (!shouldLog(LogLevel.Debug)) return;
      logger.debug(context(typeof more === 'function' ? more() : more), event);
    },
    info: (event, more = {}) => {
      if (shouldLog(LogLevel.Info)) logger.info(context(more), event);
    },
    warn: (event, more = {}) => {
      if (shouldLog(LogLevel.Warn)) logger.warn(context(more), event);
    },
    error: (event, more = {}) => {
      if (shouldLog(LogLevel.Error)) logger.error(context(more), event);
    },
    with: (more) => createLog({ ...fields, ...more }),
  };
}

/** Creates a log that discards all lines, for tests. */
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

/** Formats a line as `key=value` pairs; values with spaces, quotes or equals signs are quoted. */
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
  const text = value instanceof Error ? formatError(value) : String(value);
  return /[\s="]/.test(text) ? JSON.stringify(text) : text;
}

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

/** Directs all of the process's log lines to `write`, dropping those under `minimum`. */
export function startLogging(write: (line: string) => void, minimum: LogLevel): void {
  roarr.write = (message) => {
    const line = JSON.parse(message) as RoarrLine;
    if (Number(line.context.logLevel) >= minimum) write(formatLine(line));
  };
}

/** Creates a log whose lines all carry `fields`. */
export function createLog(fields: LogFields = {}): Log {
  const logger = Roarr.child(fields as Record<string, string>);
  return {
    debug: (event, more = {}) => logger.debug(more as Record<string, string>, event),
    info: (event, more = {}) => logger.info(more as Record<string, string>, event),
    warn: (event, more = {}) => logger.warn(more as Record<string, string>, event),
    error: (event, more = {}) => logger.error(more as Record<string, string>, event),
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

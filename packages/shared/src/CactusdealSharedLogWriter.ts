import { createWriteStream, fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import type { Writable } from 'node:stream';
import { LogLevel } from './CactusdealSharedLog.js';

/** Writes log lines without ever blocking on the process that reads them. */
export interface LogWriter {
  /** Whether a line of the level may be written now; if not, it is counted as lost. */
  readonly admit: (level: LogLevel) => boolean;
  /** Queues a line for the next flush. */
  readonly write: (line: string) => void;
  /** Number of lines dropped by the rate limit, a full buffer or a write error. */
  readonly countLostLines: () => number;
  /** Flushes the queued lines. */
  close(): void;
}

export interface LogWriterOptions {
  /** Where lines are written; the standard output when absent. */
  readonly stream?: Writable;
  /** Rate limit, and the largest burst. */
  readonly linesPerSecond?: number;
  /** Largest number of bytes in the stream's buffer at which lines are still admitted. */
  readonly maxWaitingBytes?: number;
}

const LINES_PER_SECOND = 100;
/**
 * Share of the rate limit's tokens that must remain after a line of the level. It reserves tokens for
 * more severe lines, so that a flood of less severe ones cannot crowd them out.
 */
const RESERVED_SHARES: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Debug]: 0.7,
  [LogLevel.Info]: 0.3,
  [LogLevel.Warn]: 0.1,
  [LogLevel.Error]: 0,
};
const MAX_WAITING_BYTES = 256 * 1024;
const FLUSH_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;
const STDOUT = 1;

/** Creates a writer, whose rate limit is a token bucket. */
export function createLogWriter(options: LogWriterOptions = {}): LogWriter {
  const { linesPerSecond = LINES_PER_SECOND, maxWaitingBytes = MAX_WAITING_BYTES } = options;
  const stream = options.stream ?? openStandardOutput();
  let lines: string[] = [];
  let tokens = linesPerSecond;
  let refilledAtMs = performance.now();
  let lostLines = 0;
  let reportedLostLines = 0;
  let flushTimer: NodeJS.Timeout | undefined;
  stream.on('error', () => {
    // Usually the reader has closed its end. Each write error counts as one lost line.
    lostLines += 1;
  });
  return { admit, write, countLostLines: () => lostLines, close: flush };

  function admit(level: LogLevel): boolean {
    const isAdmitted = stream.writableLength <= maxWaitingBytes && takeToken(level);
    if (!isAdmitted) lostLines += 1;
    return isAdmitted;
  }

  function write(line: string): void {
    lines.push(line);
    flushTimer ??= setTimeout(flush, FLUSH_INTERVAL_MS);
  }

  function takeToken(level: LogLevel): boolean {
    const nowMs = performance.now();
    const refill = ((nowMs - refilledAtMs) * linesPerSecond) / MS_PER_SECOND;
    tokens = Math.min(linesPerSecond, tokens + refill);
    refilledAtMs = nowMs;
    if (tokens - 1 < linesPerSecond * RESERVED_SHARES[level]) return false;
    tokens -= 1;
    return true;
  }

  function flush(): void {
    clearTimeout(flushTimer);
    flushTimer = undefined;
    if (lostLines > reportedLostLines && stream.writableLength <= maxWaitingBytes) {
      lines.push(
        `level=warn event=log-lines-lost lines=${lostLines - reportedLostLines} total=${lostLines}`,
      );
      reportedLostLines = lostLines;
    }
    if (lines.length > 0) stream.write(`${lines.join('\n')}\n`);
    lines = [];
  }
}

/** Opens a pipe as a socket, since Node's own `process.stdout` writes to a pipe synchronously. */
function openStandardOutput(): Writable {
  const stats = fstatSync(STDOUT);
  if (stats.isFIFO() || stats.isSocket())
    return new Socket({ fd: STDOUT, writable: true, readable: false });
  return createWriteStream('', { fd: STDOUT, autoClose: false });
}

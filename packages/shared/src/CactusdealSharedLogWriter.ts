import { createWriteStream, fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import type { Writable } from 'node:stream';
import { LogLevel } from './CactusdealSharedLog.js';

/** Writes log lines without ever waiting for their reader. */
export interface LogWriter {
  /** Whether a line of the level may be written now; counts it as lost when not. */
  readonly admit: (level: LogLevel) => boolean;
  readonly write: (line: string) => void;
  /** Lines that were left out because they came too fast or nobody read. */
  readonly countLost: () => number;
  close(): void;
}

export interface LogWriterOptions {
  readonly stream?: Writable;
  /** Most lines a second, and most at once. */
  readonly linesPerSecond?: number;
  /** Most bytes that may wait for the reader. */
  readonly maxWaitingBytes?: number;
}

const LINES_PER_SECOND = 100;
/** Part of the lines of a second that must be left for a line of a level, so that the graver ones always find room. */
const LEFT_FOR_OTHERS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Debug]: 0.7,
  [LogLevel.Info]: 0.3,
  [LogLevel.Warn]: 0.1,
  [LogLevel.Error]: 0,
};
const MAX_WAITING_BYTES = 256 * 1024;
const FLUSH_MS = 100;
const MS_PER_SECOND = 1_000;
const STDOUT = 1;

/** Creates a writer to the standard output, or to the stream given. */
export function createLogWriter(options: LogWriterOptions = {}): LogWriter {
  const { linesPerSecond = LINES_PER_SECOND, maxWaitingBytes = MAX_WAITING_BYTES } = options;
  const stream = options.stream ?? openStandardOutput();
  let lines: string[] = [];
  let tokens = linesPerSecond;
  let filledAtMs = performance.now();
  let lost = 0;
  let reported = 0;
  let timer: NodeJS.Timeout | undefined;
  stream.on('error', () => {
    // A reader that is gone takes nothing more; the lines count as lost.
    lost += 1;
  });
  return { admit, write, countLost: () => lost, close: flush };

  function admit(level: LogLevel): boolean {
    const hasRoom = stream.writableLength <= maxWaitingBytes && takeToken(level);
    if (!hasRoom) lost += 1;
    return hasRoom;
  }

  function write(line: string): void {
    lines.push(line);
    timer ??= setTimeout(flush, FLUSH_MS);
  }

  function takeToken(level: LogLevel): boolean {
    const nowMs = performance.now();
    const earned = ((nowMs - filledAtMs) * linesPerSecond) / MS_PER_SECOND;
    tokens = Math.min(linesPerSecond, tokens + earned);
    filledAtMs = nowMs;
    if (tokens - 1 < linesPerSecond * LEFT_FOR_OTHERS[level]) return false;
    tokens -= 1;
    return true;
  }

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    if (lost > reported && stream.writableLength <= maxWaitingBytes) {
      lines.push(`level=warn event=log-lines-lost lines=${lost - reported} total=${lost}`);
      reported = lost;
    }
    if (lines.length > 0) stream.write(`${lines.join('\n')}\n`);
    lines = [];
  }
}

/** A pipe is written through a socket, which does not block as the runtime's own stream does. */
function openStandardOutput(): Writable {
  const kind = fstatSync(STDOUT);
  if (kind.isFIFO() || kind.isSocket())
    return new Socket({ fd: STDOUT, writable: true, readable: false });
  return createWriteStream('', { fd: STDOUT, autoClose: false });
}

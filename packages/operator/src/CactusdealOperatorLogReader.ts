import type { Platform, PlatformRecord } from '@cactusdeal/platform';
import type { LogEntry, Snapshot } from '@cactusdeal/schema';
import type { Log, Random } from '@cactusdeal/shared';
import { createBackoff } from './CactusdealOperatorBackoff.js';
import { readLogValue } from './CactusdealOperatorCodec.js';
import { getLogKey } from './CactusdealOperatorKeys.js';
import { loadStart } from './CactusdealOperatorStart.js';
import { readTrimMark } from './CactusdealOperatorTrim.js';

/** Where a log reader hands over what it reads. */
export interface LogReaderTarget {
  /** Highest version seen, in force or rejected. */
  getHeadVersion(): number;
  getSnapshot(): Snapshot;
  /** Takes the entry above the head; the head rises whether the entry comes into force or not. */
  acceptEntry(entry: LogEntry): void;
  acceptSnapshot(snapshot: Snapshot, hash: string): void;
}

export interface LogReaderOptions {
  readonly platform: Platform;
  readonly target: LogReaderTarget;
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random?: Random;
  /** Time that one watch waits at the platform, in milliseconds. */
  readonly watchMs?: number;
}

const WATCH_MS = 25_000;
const FIRST_WAIT_MS = 200;
const MOST_WAIT_MS = 5_000;

/**
 * Watches the log for the entry above the head and hands entries over, until the signal aborts.
 * Where the log was trimmed past the head, it hands over the checkpoint instead.
 */
export async function runLogReader(options: LogReaderOptions): Promise<void> {
  const { platform, target, signal, log } = options;
  const backoff = createBackoff(FIRST_WAIT_MS, MOST_WAIT_MS, options.random ?? Math.random);
  const watchMs = options.watchMs ?? WATCH_MS;
  while (!signal.aborted) {
    const version = target.getHeadVersion() + 1;
    const found = await platform.watch(getLogKey(version), 0, watchMs, signal);
    const failure = await found.caseOf({
      Left: async ({ message }) => message,
      Right: (record) => forwardRecord(platform, target, version, record),
    });
    if (failure === undefined) backoff.reset();
    else if (!signal.aborted) {
      log.warn('log-read-failed', { version, message: failure });
      await backoff.wait(signal);
    }
  }
}

/**
 * Hands over what a watch brought; answers why it could not. The trim mark is read after the entry:
 * an entry at or below the mark may be a late write of a plan that lost long ago.
 */
async function forwardRecord(
  platform: Platform,
  target: LogReaderTarget,
  version: number,
  record: PlatformRecord | undefined,
): Promise<string | undefined> {
  if (target.getHeadVersion() >= version) return undefined;
  const read = await readTrimMark(platform);
  if (read.isLeft()) return read.extract().message;
  if (read.unsafeCoerce().mark.trimmedThrough >= version) return forwardStart(platform, target);
  if (record === undefined || target.getHeadVersion() >= version) return undefined;
  target.acceptEntry(readLogValue(version, record.value));
  if (target.getHeadVersion() >= version) return undefined;
  return 'the entry was not accepted and the head did not move';
}

async function forwardStart(
  platform: Platform,
  target: LogReaderTarget,
): Promise<string | undefined> {
  const loaded = await loadStart(platform, target.getSnapshot());
  if (loaded.isLeft()) return loaded.extract().message;
  const { snapshot, hash, entries } = loaded.unsafeCoerce();
  const headBefore = target.getHeadVersion();
  if (snapshot.version > headBefore) target.acceptSnapshot(snapshot, hash);
  entries.forEach((entry) => {
    if (entry.version === target.getHeadVersion() + 1) target.acceptEntry(entry);
  });
  return target.getHeadVersion() > headBefore ? undefined : 'the checkpoint brought nothing new';
}

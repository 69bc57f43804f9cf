import type { Platform, PlatformRecord } from '@cactusdeal/platform';
import type { LogEntry, Snapshot } from '@cactusdeal/schema';
import type { Log, Random } from '@cactusdeal/shared';
import { createBackoff } from './CactusdealOperatorBackoff.js';
import { decodeLogEntry } from './CactusdealOperatorCodec.js';
import { getLogKey } from './CactusdealOperatorKeys.js';
import { loadLatestConfiguration } from './CactusdealOperatorLoad.js';
import { readTrimMark } from './CactusdealOperatorTrim.js';

/** Receives the entries and snapshots that a log reader reads. */
export interface LogReaderTarget {
  /** Highest version seen, in force or rejected. */
  getHeadVersion(): number;
  /** The snapshot in force. */
  getSnapshot(): Snapshot;
  /**
   * Applies the entry of the version after the head. The head rises to it, whether the entry comes
   * into force or is rejected.
   */
  acceptEntry(entry: LogEntry): void;
  /** Replaces the snapshot in force by a newer one. */
  acceptSnapshot(snapshot: Snapshot, hash: string): void;
}

export interface LogReaderOptions {
  readonly platform: Platform;
  readonly target: LogReaderTarget;
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random?: Random;
  /** Longest time that one watch call waits for the next entry, in milliseconds. */
  readonly watchMs?: number;
}

const WATCH_MS = 25_000;
const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;

/**
 * Watches the log for the version after the head and passes each entry to the target, until the
 * signal aborts. If that version has been trimmed, it loads the checkpoint and passes that instead.
 */
export async function runLogReader(options: LogReaderOptions): Promise<void> {
  const { platform, target, signal, log } = options;
  const backoff = createBackoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, options.random ?? Math.random);
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
 * Passes the result of a watch to the target; returns an error message when that fails. The trim
 * mark is read after the entry: an entry at or below the mark may be a late write by a stale plan,
 * under the key of a version that was accepted and trimmed before.
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
  if (read.unsafeCoerce().mark.trimmedThrough >= version)
    return forwardCheckpoint(platform, target);
  if (record === undefined || target.getHeadVersion() >= version) return undefined;
  target.acceptEntry(decodeLogEntry(version, record.value));
  if (target.getHeadVersion() >= version) return undefined;
  return 'the target did not take the entry: its head version did not rise';
}

/**
 * Loads the checkpoint and the log after it and passes them to the target; returns an error message
 * when that fails or brings no newer version.
 */
async function forwardCheckpoint(
  platform: Platform,
  target: LogReaderTarget,
): Promise<string | undefined> {
  const loaded = await loadLatestConfiguration(platform, target.getSnapshot());
  if (loaded.isLeft()) return loaded.extract().message;
  const { snapshot, hash, entries } = loaded.unsafeCoerce();
  const previousHead = target.getHeadVersion();
  if (snapshot.version > previousHead) target.acceptSnapshot(snapshot, hash);
  entries.forEach((entry) => {
    if (entry.version === target.getHeadVersion() + 1) target.acceptEntry(entry);
  });
  return target.getHeadVersion() > previousHead
    ? undefined
    : 'the checkpoint holds no version above the head';
}

import { type Clock, getMonotonicMs } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { buildNotDoneFailure, checkLimits } from './CactusdealPlatformLimits.js';
import type {
  Platform,
  PlatformFailure,
  PlatformRecord,
  WriteOutcome,
} from './CactusdealPlatformPort.js';
import { createRecordStore, type RecordStore } from './CactusdealPlatformStore.js';

export interface MemoryPlatformOptions {
  /** Clock that decides when leases expire; the monotonic clock when absent. */
  readonly clock?: Clock;
}

/** Creates an in-memory implementation of the platform, for the stand-in and for tests. */
export function createMemoryPlatform(options: MemoryPlatformOptions = {}): Platform {
  const store = createRecordStore(options.clock ?? getMonotonicMs);
  const closing = new AbortController();

  return {
    get: async (key) => refuseOutsideLimits(key).map(() => store.get(key)),
    createIfAbsent: async (key, value, leaseId) => writeRecord(store, key, 0, value, leaseId),
    compareAndSwap: async (key, expectedRevision, value, leaseId) =>
      writeRecord(store, key, expectedRevision, value, leaseId),
    remove: async (key, expectedRevision) =>
      refuseOutsideLimits(key).map(() => store.remove(key, expectedRevision)),
    grantLease: async (ttlMs) => Right(store.grantLease(ttlMs)),
    renewLease: async (leaseId) => Right(store.renewLease(leaseId)),
    revokeLease: async (leaseId) => Right(store.releaseLease(leaseId)),
    watch: async (key, afterRevision, waitMs, signal) => {
      const signals = signal === undefined ? [closing.signal] : [closing.signal, signal];
      return watchRecord(store, key, afterRevision, waitMs, AbortSignal.any(signals));
    },
    close: async () => closing.abort(),
  };
}

function refuseOutsideLimits(key: string, value?: Uint8Array): Either<PlatformFailure, undefined> {
  const failure = checkLimits(key, value);
  return failure === undefined ? Right(undefined) : Left(failure);
}

function writeRecord(
  store: RecordStore,
  key: string,
  expectedRevision: number,
  value: Uint8Array,
  leaseId: string | undefined,
): Either<PlatformFailure, WriteOutcome> {
  return refuseOutsideLimits(key, value).chain(() => {
    const outcome = store.write(key, expectedRevision, value, leaseId);
    if (outcome !== 'leaseExpired') return Right(outcome);
    return Left(
      buildNotDoneFailure(
        `cannot write key ${key}: lease ${leaseId} has expired or was never granted`,
      ),
    );
  });
}

function watchRecord(
  store: RecordStore,
  key: string,
  afterRevision: number,
  waitMs: number,
  signal: AbortSignal,
): Promise<Either<PlatformFailure, PlatformRecord | undefined>> {
  const current = store.get(key);
  if (current !== undefined && current.revision > afterRevision) {
    return Promise.resolve(Right(current));
  }
  return new Promise((resolve) => {
    const removeListener = store.observe(key, finish);
    const timer = setTimeout(finish, waitMs);
    signal.addEventListener('abort', handleAbort);
    if (signal.aborted) handleAbort();

    function finish(record?: PlatformRecord): void {
      stopWaiting();
      resolve(Right(record));
    }

    function handleAbort(): void {
      stopWaiting();
      resolve(Left(buildNotDoneFailure(`watch of key ${key} cancelled`)));
    }

    function stopWaiting(): void {
      removeListener();
      clearTimeout(timer);
      signal.removeEventListener('abort', handleAbort);
    }
  });
}

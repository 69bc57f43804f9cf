import type { Clock } from '@cactusdeal/shared';
import type { PlatformLease, PlatformRecord, WriteOutcome } from './CactusdealPlatformPort.js';

interface StoredRecord extends PlatformRecord {
  readonly leaseId: string | undefined;
}

interface StoredLease extends PlatformLease {
  readonly expiresAtMs: number;
}

/** Called with the new record after each write of a key. */
export type RecordListener = (record: PlatformRecord) => void;

/** Records with revisions and leases, in memory. Methods are synchronous. */
export interface RecordStore {
  get(key: string): PlatformRecord | undefined;
  /** Writes if the key's revision is `expectedRevision`; 0 stands for an absent key. */
  write(
    key: string,
    expectedRevision: number,
    value: Uint8Array,
    leaseId: string | undefined,
  ): WriteOutcome | 'leaseExpired';
  remove(key: string, expectedRevision: number): WriteOutcome;
  grantLease(ttlMs: number): PlatformLease;
  renewLease(leaseId: string): boolean;
  releaseLease(leaseId: string): boolean;
  /** Registers a listener for writes of the key; returns the function that removes it. */
  observe(key: string, listener: RecordListener): () => void;
}

/**
 * Creates an empty store. Leases that have expired by `clock` are removed before a record or a lease
 * is used, not by a timer.
 */
export function createRecordStore(clock: Clock): RecordStore {
  const records = new Map<string, StoredRecord>();
  const leases = new Map<string, StoredLease>();
  const listeners = new Map<string, Set<RecordListener>>();
  let revision = 0;
  let leaseCount = 0;

  return { get, write, remove, grantLease, renewLease, releaseLease, observe };

  function get(key: string): PlatformRecord | undefined {
    removeExpiredLeases();
    return toRecord(records.get(key));
  }

  function write(
    key: string,
    expectedRevision: number,
    value: Uint8Array,
    leaseId: string | undefined,
  ): WriteOutcome | 'leaseExpired' {
    removeExpiredLeases();
    const current = records.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) return buildConflict(current);
    if (leaseId !== undefined && !leases.has(leaseId)) return 'leaseExpired';
    revision += 1;
    const record = { value: Uint8Array.from(value), revision, leaseId };
    records.set(key, record);
    listeners.get(key)?.forEach((listener) => listener({ value: record.value, revision }));
    return { written: true, revision };
  }

  function remove(key: string, expectedRevision: number): WriteOutcome {
    removeExpiredLeases();
    const current = records.get(key);
    if (current?.revision !== expectedRevision) return buildConflict(current);
    records.delete(key);
    revision += 1;
    return { written: true, revision };
  }

  function grantLease(ttlMs: number): PlatformLease {
    leaseCount += 1;
    const lease = { id: `lease-${leaseCount}`, ttlMs };
    leases.set(lease.id, { ...lease, expiresAtMs: clock() + ttlMs });
    return lease;
  }

  function renewLease(leaseId: string): boolean {
    removeExpiredLeases();
    const lease = leases.get(leaseId);
    if (lease === undefined) return false;
    leases.set(leaseId, { ...lease, expiresAtMs: clock() + lease.ttlMs });
    return true;
  }

  function releaseLease(leaseId: string): boolean {
    removeExpiredLeases();
    if (!leases.delete(leaseId)) return false;
    removeKeysOfLease(leaseId);
    return true;
  }

  function observe(key: string, listener: RecordListener): () => void {
    const keyListeners = listeners.get(key) ?? new Set<RecordListener>();
    listeners.set(key, keyListeners.add(listener));
    return () => {
      keyListeners.delete(listener);
      if (keyListeners.size === 0 && listeners.get(key) === keyListeners) listeners.delete(key);
    };
  }

  function removeExpiredLeases(): void {
    const nowMs = clock();
    leases.forEach((lease, id) => {
      if (lease.expiresAtMs > nowMs) return;
      leases.delete(id);
      removeKeysOfLease(id);
    });
  }

  function removeKeysOfLease(leaseId: string): void {
    records.forEach((record, key) => {
      if (record.leaseId === leaseId) records.delete(key);
    });
  }
}

function toRecord(stored: StoredRecord | undefined): PlatformRecord | undefined {
  return stored === undefined ? undefined : { value: stored.value, revision: stored.revision };
}

function buildConflict(current: StoredRecord | undefined): WriteOutcome {
  return { written: false, current: toRecord(current) };
}

import type { Clock } from '@cactusdeal/shared';
import type { PlatformLease, PlatformRecord, WriteOutcome } from './CactusdealPlatformPort.js';

interface StoredRecord extends PlatformRecord {
  readonly leaseId: string | undefined;
}

interface StoredLease extends PlatformLease {
  readonly expiresAtMs: number;
}

/** Called when a key was written. */
export type StoreListener = (record: PlatformRecord) => void;

/** Key-value records with revisions and leases; each method takes effect at once. */
export interface Store {
  get(key: string): PlatformRecord | undefined;
  /** Writes when the key's revision is `expectedRevision`; 0 stands for an absent key. */
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
  /** Registers a listener for writes of the key; returns its removal. */
  observe(key: string, listener: StoreListener): () => void;
}

/** Creates an empty store. Leases expire by `clock`, checked before each method takes effect. */
export function createStore(clock: Clock): Store {
  const records = new Map<string, StoredRecord>();
  const leases = new Map<string, StoredLease>();
  const listeners = new Map<string, Set<StoreListener>>();
  let revision = 0;
  let leaseCount = 0;

  return { get, write, remove, grantLease, renewLease, releaseLease, observe };

  function get(key: string): PlatformRecord | undefined {
    discardExpired();
    return toRecord(records.get(key));
  }

  function write(
    key: string,
    expectedRevision: number,
    value: Uint8Array,
    leaseId: string | undefined,
  ): WriteOutcome | 'leaseExpired' {
    discardExpired();
    const current = records.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) return buildRefusal(current);
    if (leaseId !== undefined && !leases.has(leaseId)) return 'leaseExpired';
    revision += 1;
    const record = { value: Uint8Array.from(value), revision, leaseId };
    records.set(key, record);
    listeners.get(key)?.forEach((listener) => listener({ value: record.value, revision }));
    return { written: true, revision };
  }

  function remove(key: string, expectedRevision: number): WriteOutcome {
    discardExpired();
    const current = records.get(key);
    if (current?.revision !== expectedRevision) return buildRefusal(current);
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
    discardExpired();
    const lease = leases.get(leaseId);
    if (lease === undefined) return false;
    leases.set(leaseId, { ...lease, expiresAtMs: clock() + lease.ttlMs });
    return true;
  }

  function releaseLease(leaseId: string): boolean {
    discardExpired();
    if (!leases.delete(leaseId)) return false;
    discardKeysOf(leaseId);
    return true;
  }

  function observe(key: string, listener: StoreListener): () => void {
    const set = listeners.get(key) ?? new Set<StoreListener>();
    listeners.set(key, set.add(listener));
    return () => {
      set.delete(listener);
      if (set.size === 0 && listeners.get(key) === set) listeners.delete(key);
    };
  }

  function discardExpired(): void {
    const nowMs = clock();
    leases.forEach((lease, id) => {
      if (lease.expiresAtMs > nowMs) return;
      leases.delete(id);
      discardKeysOf(id);
    });
  }

  function discardKeysOf(leaseId: string): void {
    records.forEach((record, key) => {
      if (record.leaseId === leaseId) records.delete(key);
    });
  }
}

function toRecord(stored: StoredRecord | undefined): PlatformRecord | undefined {
  return stored === undefined ? undefined : { value: stored.value, revision: stored.revision };
}

function buildRefusal(current: StoredRecord | undefined): WriteOutcome {
  return { written: false, current: toRecord(current) };
}

import {
  type Platform,
  type PlatformFailure,
  PlatformFailureKind,
  type PlatformRecord,
  type WriteOutcome,
} from '@cactusdeal/platform';
import type { Random } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';
import type { LeaseSource } from './CactusdealTrafficClaimsLease.js';
import {
  type ClaimEntries,
  type ClaimEntry,
  decodeEntries,
  encodeEntries,
  MAX_PAGE_ENTRIES,
} from './CactusdealTrafficClaimsRecord.js';

/** A claim that has not been written to its page yet. */
export interface PendingClaim {
  readonly hash: string;
  readonly attempt: string;
  readonly deadlineAtMs: number;
  /** Whether the claim was refused already; if it was written nevertheless, it must be released. */
  isWithdrawn(): boolean;
  /** Grants the claim, which is written; returns false if it was withdrawn. */
  grant(): boolean;
  /** Refuses the claim because another attempt holds the key. */
  refuse(entry: ClaimEntry): void;
  /** Refuses the claim because it cannot be written to this page. */
  fail(): void;
}

/** A change of a claim that this process holds: records a status, or releases the key. */
export interface ClaimChange {
  readonly hash: string;
  readonly attempt: string;
  /** HTTP status to record; undefined to release the key. */
  readonly status: number | undefined;
  /** Called once the change has been written or given up. */
  readonly settle?: () => void;
}

/** Options of `ClaimPage`. */
export interface ClaimPageOptions {
  readonly platform: Platform;
  readonly platformKey: string;
  /** Provides a lease that outlives the retention of keys; its expiry deletes the page. */
  readonly leases: LeaseSource;
  readonly random: Random;
  /** Waits for a time in milliseconds or until the signal aborts. */
  readonly pause: (durationMs: number, signal?: AbortSignal) => Promise<void>;
  /** Called after each call to the platform with whether it succeeded. */
  readonly recordPlatformResult: (isSuccess: boolean) => void;
  /** How long changes wait to be written together with a claim, in milliseconds. */
  readonly batchDelayMs: number;
  /** Upper bound of the backoff before a failed call to the platform is retried, in milliseconds. */
  readonly getMaxBackoffMs: () => number;
}

interface QueuedClaim {
  readonly claim: PendingClaim;
  /** Generation of the page when the claim arrived. */
  readonly seenGeneration: number;
}

const MIN_BACKOFF_MS = 2;
const MAX_CONFLICT_EXPONENT = 6;

/**
 * The claims in one record of the platform, of a single key or of all keys that share the record.
 * The record changes by compare-and-swap only. While a write is in flight, further claims and changes
 * are batched for the next one. A writer that loses the race receives the winner's record and merges
 * into it. A write without a response is retried against the same revision: either the retry or the
 * first write takes effect, never both.
 */
export class ClaimPage {
  private readonly claims = new Map<string, QueuedClaim>();

  private readonly changes = new Map<string, ClaimChange>();

  private entries: ClaimEntries = new Map();

  /** Revision of the record that `entries` was read from; undefined if unknown or absent. */
  private revision: number | undefined;

  /** Number of times that `entries` was updated by a read or write of the record. */
  private generation = 0;

  /** Whether a write was sent without a response, so that it may still take effect. */
  private hasUncertainWrite = false;

  private loop: Promise<void> | undefined;

  private batchDelay = new AbortController();

  private isClosing = false;

  private isStopped = false;

  public constructor(private readonly options: ClaimPageOptions) {}

  public isIdle(): boolean {
    return this.loop === undefined;
  }

  public add(claim: PendingClaim): void {
    if (this.isStopped) {
      claim.fail();
      return;
    }
    this.claims.set(claim.attempt, { claim, seenGeneration: this.generation });
    this.batchDelay.abort();
    this.start();
  }

  public change(change: ClaimChange): void {
    if (this.isStopped) {
      change.settle?.();
      return;
    }
    this.changes.set(change.attempt, change);
    this.start();
  }

  /** Writes the pending claims and changes without a batch delay; resolves once all are written. */
  public async finish(): Promise<void> {
    this.isClosing = true;
    this.batchDelay.abort();
    await this.loop;
  }

  /** Refuses the pending claims, gives up the pending changes and writes nothing more. */
  public stop(): void {
    this.isStopped = true;
    this.failAll();
  }

  /** Number of claims and changes that have not been written yet. */
  public countPending(): number {
    return this.claims.size + this.changes.size;
  }

  private start(): void {
    this.loop ??= this.run().finally(() => {
      this.loop = undefined;
      if (this.hasPending() && !this.isStopped) this.start();
    });
  }

  private hasPending(): boolean {
    return this.claims.size > 0 || this.changes.size > 0;
  }

  private async run(): Promise<void> {
    let failures = 0;
    let conflicts = 0;
    while (this.hasPending() && !this.isStopped) {
      if (this.claims.size === 0) await this.waitForBatch();
      const result = await this.runStep();
      failures = result === undefined ? failures + 1 : 0;
      conflicts = result === false ? Math.min(conflicts + 1, MAX_CONFLICT_EXPONENT) : 0;
      if (failures > 0) await this.backOff(failures);
      if (conflicts > 1) await this.backOff(conflicts);
    }
  }

  private async waitForBatch(): Promise<void> {
    if (this.isClosing || this.options.batchDelayMs === 0) return;
    this.batchDelay = new AbortController();
    await this.options.pause(this.options.batchDelayMs, this.batchDelay.signal);
  }

  private backOff(attempts: number): Promise<void> {
    const maxMs = Math.min(MIN_BACKOFF_MS * 2 ** attempts, this.options.getMaxBackoffMs());
    return this.options.pause(maxMs * this.options.random());
  }

  /**
   * Makes at most one read or write of the record. Returns false if another writer won the race and
   * undefined if the platform failed, else true.
   */
  private async runStep(): Promise<boolean | undefined> {
    this.settleWritten();
    if (this.needsRefresh()) return this.refresh();
    this.refuseClaimed();
    this.dropStaleChanges();
    if (!this.hasPending()) return true;
    const changes = [...this.changes.values()];
    const next = this.buildEntries(changes);
    const written = await this.write(next);
    this.options.recordPlatformResult(written.isRight());
    return written.caseOf({
      Left: ({ kind }) => this.recordFailure(kind),
      Right: (outcome) => {
        if (outcome.written) this.applyEntries(next, outcome.revision);
        else this.applyRecord(outcome.current);
        if (outcome.written) this.settleChanges(changes);
        this.settleWritten();
        return outcome.written;
      },
    });
  }

  private async write(next: ClaimEntries): Promise<Either<PlatformFailure, WriteOutcome>> {
    const { platform, platformKey, leases } = this.options;
    const lease = await leases.get();
    if (lease.isLeft()) return lease;
    const leaseId = lease.unsafeCoerce();
    const value = encodeEntries(next);
    return this.revision === undefined
      ? platform.createIfAbsent(platformKey, value, leaseId)
      : platform.compareAndSwap(platformKey, this.revision, value, leaseId);
  }

  private recordFailure(kind: string): undefined {
    if (kind === PlatformFailureKind.NotDone) this.options.leases.invalidate();
    else this.hasUncertainWrite = true;
  }

  private applyEntries(entries: ClaimEntries, revision: number | undefined): void {
    this.entries = entries;
    this.revision = revision;
    this.generation += 1;
    this.hasUncertainWrite = false;
  }

  private applyRecord(record: PlatformRecord | undefined): void {
    if (record === undefined) {
      this.failAll();
      return;
    }
    decodeEntries(record.value).caseOf({
      Left: () => this.failAll(),
      Right: (entries) => this.applyEntries(entries, record.revision),
    });
  }

  /** Fails everything pending: the record is gone or unreadable, so its claims are unknown. */
  private failAll(): void {
    this.claims.forEach(({ claim }) => claim.fail());
    this.claims.clear();
    this.changes.forEach((change) => this.settleChange(change));
    this.applyEntries(new Map(), undefined);
  }

  /**
   * Whether the record must be read first. A claim is only refused as claimed if the page was updated
   * after the claim arrived, because the earlier claim may have been released since.
   */
  private needsRefresh(): boolean {
    if (this.revision === undefined) return this.claims.size === 0;
    return [...this.claims.values()].some(
      ({ claim, seenGeneration }) =>
        seenGeneration === this.generation && this.entries.has(claim.hash),
    );
  }

  private async refresh(): Promise<boolean | undefined> {
    const found = await this.options.platform.get(this.options.platformKey);
    this.options.recordPlatformResult(found.isRight());
    return found.caseOf({
      Left: () => undefined,
      Right: (record) => {
        // An unchanged revision does not settle an uncertain write, but the entries are up to date.
        if (record !== undefined && record.revision === this.revision) this.generation += 1;
        else if (record !== undefined || !this.hasUncertainWrite) this.applyRecord(record);
        return true;
      },
    });
  }

  /**
   * Grants the claims that `entries` contains, releases those of them that were withdrawn, and drops
   * withdrawn claims that were not written.
   */
  private settleWritten(): void {
    this.claims.forEach(({ claim }, attempt) => {
      const isWritten = this.entries.get(claim.hash)?.attempt === attempt;
      if (!isWritten && (this.hasUncertainWrite || !claim.isWithdrawn())) return;
      this.claims.delete(attempt);
      if (!isWritten || claim.grant()) return;
      this.changes.set(attempt, { hash: claim.hash, attempt, status: undefined });
    });
  }

  private refuseClaimed(): void {
    this.claims.forEach(({ claim }, attempt) => {
      const entry = this.entries.get(claim.hash);
      if (entry === undefined) return;
      claim.refuse(entry);
      if (!this.hasUncertainWrite) this.claims.delete(attempt);
    });
  }

  /** Gives up changes whose claim is no longer in the record. */
  private dropStaleChanges(): void {
    if (this.revision === undefined) return;
    this.changes.forEach((change) => {
      const holder = this.entries.get(change.hash)?.attempt;
      if (holder !== change.attempt) this.settleChange(change);
    });
  }

  private settleChanges(changes: readonly ClaimChange[]): void {
    changes
      .filter((change) => this.changes.get(change.attempt) === change)
      .forEach((change) => this.settleChange(change));
  }

  private settleChange(change: ClaimChange): void {
    this.changes.delete(change.attempt);
    change.settle?.();
  }

  private buildEntries(changes: readonly ClaimChange[]): ClaimEntries {
    const next = new Map(this.entries);
    changes.forEach(({ hash, attempt, status }) => {
      const entry = next.get(hash);
      if (entry?.attempt !== attempt) return;
      if (status === undefined) next.delete(hash);
      else next.set(hash, { ...entry, status });
    });
    this.claims.forEach(({ claim }) => {
      const { hash, attempt, deadlineAtMs } = claim;
      if (claim.isWithdrawn() || next.has(hash)) return;
      if (next.size < MAX_PAGE_ENTRIES)
        next.set(hash, { attempt, deadlineAtMs, status: undefined });
      else claim.fail();
    });
    return next;
  }
}

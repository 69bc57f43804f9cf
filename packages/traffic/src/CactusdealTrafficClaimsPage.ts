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

/** A claim that waits for its page to be written. */
export interface PendingClaim {
  readonly hash: string;
  readonly attempt: string;
  readonly deadlineAtMs: number;
  /** Whether the claim was refused meanwhile, so that it has to be taken back if it was written. */
  isWithdrawn(): boolean;
  /** The claim is written and no earlier one holds the key; answers whether it is still wanted. */
  grant(): boolean;
  /** Another attempt holds the key. */
  refuse(entry: ClaimEntry): void;
  /** No claim can be written on this page. */
  fail(): void;
}

/** A change of a claim that this process holds: its status, or undefined to give the key back. */
export interface ClaimChange {
  readonly hash: string;
  readonly attempt: string;
  readonly status: number | undefined;
  /** Called once the change is written, or will never be. */
  readonly settle?: () => void;
}

/** What a page works with. */
export interface PageParts {
  readonly platform: Platform;
  readonly platformKey: string;
  /** A lease that outlives the retention of keys: it removes the page in the end. */
  readonly leases: LeaseSource;
  readonly random: Random;
  /** Waits for a time in milliseconds, or until the signal aborts. */
  readonly pause: (durationMs: number, signal?: AbortSignal) => Promise<void>;
  /** Told of each answer and each failure of the platform. */
  readonly recordAnswer: (isAnswered: boolean) => void;
  /** How long changes wait for a claim that they can be written with, in milliseconds. */
  readonly lazyMs: number;
  /** Longest wait before a failed call to the platform is tried again, in milliseconds. */
  readonly getMostBackoffMs: () => number;
}

interface Waiting {
  readonly claim: PendingClaim;
  /** Number of the view that the page had when the claim arrived. */
  readonly view: number;
}

const LEAST_BACKOFF_MS = 2;
const MAX_CONFLICT_BACKOFF = 6;

/**
 * The claims of one record of the platform, of one key or of all that share it, which changes by
 * compare-and-swap only. While one write is in flight, the next batch gathers; a writer that loses
 * the race is answered the winner's record and merges. An uncertain write is settled by trying
 * again against the same revision: either that write or the earlier one wins, never both.
 */
export class ClaimPage {
  private readonly claims = new Map<string, Waiting>();

  private readonly changes = new Map<string, ClaimChange>();

  private entries: ClaimEntries = new Map();

  /** Revision of the record that `entries` shows; undefined when it is not known or absent. */
  private revision: number | undefined;

  /** Counts how often `entries` was brought up to date. */
  private view = 0;

  /** Whether a write without an answer may still take effect. */
  private isUncertain = false;

  private task: Promise<void> | undefined;

  private lazyWait = new AbortController();

  private isClosing = false;

  private isStopped = false;

  public constructor(private readonly parts: PageParts) {}

  public isIdle(): boolean {
    return this.task === undefined;
  }

  public add(claim: PendingClaim): void {
    if (this.isStopped) {
      claim.fail();
      return;
    }
    this.claims.set(claim.attempt, { claim, view: this.view });
    this.lazyWait.abort();
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

  /** Writes what is left without waiting for company; resolves once nothing is. */
  public async finish(): Promise<void> {
    this.isClosing = true;
    this.lazyWait.abort();
    await this.task;
  }

  /** Refuses what waits and writes nothing more. */
  public stop(): void {
    this.isStopped = true;
    this.failAll();
  }

  /** Number of claims and changes that are not written yet. */
  public countWork(): number {
    return this.claims.size + this.changes.size;
  }

  private start(): void {
    this.task ??= this.run().finally(() => {
      this.task = undefined;
      if (this.hasWork() && !this.isStopped) this.start();
    });
  }

  private hasWork(): boolean {
    return this.claims.size > 0 || this.changes.size > 0;
  }

  private async run(): Promise<void> {
    let failures = 0;
    let conflicts = 0;
    while (this.hasWork() && !this.isStopped) {
      if (this.claims.size === 0) await this.waitForCompany();
      const result = await this.step();
      failures = result === undefined ? failures + 1 : 0;
      conflicts = result === false ? Math.min(conflicts + 1, MAX_CONFLICT_BACKOFF) : 0;
      if (failures > 0) await this.backOff(failures);
      if (conflicts > 1) await this.backOff(conflicts);
    }
  }

  private async waitForCompany(): Promise<void> {
    if (this.isClosing || this.parts.lazyMs === 0) return;
    this.lazyWait = new AbortController();
    await this.parts.pause(this.parts.lazyMs, this.lazyWait.signal);
  }

  private backOff(times: number): Promise<void> {
    const most = Math.min(LEAST_BACKOFF_MS * 2 ** times, this.parts.getMostBackoffMs());
    return this.parts.pause(most * this.parts.random());
  }

  /** One call to the platform at most: true when written, false when another won, undefined on failure. */
  private async step(): Promise<boolean | undefined> {
    this.settleOwn();
    if (this.isRefreshNeeded()) return this.refresh();
    this.refuseClaimed();
    this.dropForeignChanges();
    if (!this.hasWork()) return true;
    const changes = [...this.changes.values()];
    const next = this.buildNext(changes);
    const written = await this.write(next);
    this.parts.recordAnswer(written.isRight());
    return written.caseOf({
      Left: ({ kind }) => this.noteFailure(kind),
      Right: (outcome) => {
        if (outcome.written) this.show(next, outcome.revision);
        else this.showRecord(outcome.current);
        if (outcome.written) this.dropChanges(changes);
        this.settleOwn();
        return outcome.written;
      },
    });
  }

  private async write(next: ClaimEntries): Promise<Either<PlatformFailure, WriteOutcome>> {
    const { platform, platformKey, leases } = this.parts;
    const lease = await leases.get();
    if (lease.isLeft()) return lease;
    const leaseId = lease.unsafeCoerce();
    const value = encodeEntries(next);
    return this.revision === undefined
      ? platform.createIfAbsent(platformKey, value, leaseId)
      : platform.compareAndSwap(platformKey, this.revision, value, leaseId);
  }

  private noteFailure(kind: string): undefined {
    if (kind === PlatformFailureKind.NotDone) this.parts.leases.forget();
    else this.isUncertain = true;
  }

  private show(entries: ClaimEntries, revision: number | undefined): void {
    this.entries = entries;
    this.revision = revision;
    this.view += 1;
    this.isUncertain = false;
  }

  private showRecord(record: PlatformRecord | undefined): void {
    if (record === undefined) {
      this.failAll();
      return;
    }
    decodeEntries(record.value).caseOf({
      Left: () => this.failAll(),
      Right: (entries) => this.show(entries, record.revision),
    });
  }

  /** The record is gone or unreadable: what it held is unknown, so nothing may be claimed on it. */
  private failAll(): void {
    this.claims.forEach(({ claim }) => claim.fail());
    this.claims.clear();
    this.changes.forEach((change) => this.dropChange(change));
    this.show(new Map(), undefined);
  }

  /** A claim on a key that the page shows as claimed is only refused by a view younger than the claim. */
  private isRefreshNeeded(): boolean {
    if (this.revision === undefined) return this.claims.size === 0;
    return [...this.claims.values()].some(
      ({ claim, view }) => view === this.view && this.entries.has(claim.hash),
    );
  }

  private async refresh(): Promise<boolean | undefined> {
    const found = await this.parts.platform.get(this.parts.platformKey);
    this.parts.recordAnswer(found.isRight());
    return found.caseOf({
      Left: () => undefined,
      Right: (record) => {
        // The same revision as before leaves an uncertain write open, but the view is current.
        if (record !== undefined && record.revision === this.revision) this.view += 1;
        else if (record !== undefined || !this.isUncertain) this.showRecord(record);
        return true;
      },
    });
  }

  /** Settles the claims that the page shows as written, and forgets withdrawn ones that it does not. */
  private settleOwn(): void {
    this.claims.forEach(({ claim }, attempt) => {
      const isWritten = this.entries.get(claim.hash)?.attempt === attempt;
      if (!isWritten && (this.isUncertain || !claim.isWithdrawn())) return;
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
      if (!this.isUncertain) this.claims.delete(attempt);
    });
  }

  private dropForeignChanges(): void {
    if (this.revision === undefined) return;
    this.changes.forEach((change) => {
      const holder = this.entries.get(change.hash)?.attempt;
      if (holder !== change.attempt) this.dropChange(change);
    });
  }

  private dropChanges(changes: readonly ClaimChange[]): void {
    changes
      .filter((change) => this.changes.get(change.attempt) === change)
      .forEach((change) => this.dropChange(change));
  }

  private dropChange(change: ClaimChange): void {
    this.changes.delete(change.attempt);
    change.settle?.();
  }

  private buildNext(changes: readonly ClaimChange[]): ClaimEntries {
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

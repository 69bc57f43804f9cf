import type { Clock } from '@cactusdeal/shared';
import type { CrashNotice } from './CactusdealQuarantineNotice.js';
import {
  createPendingSuccesses,
  type PendingSuccesses,
} from './CactusdealQuarantinePendingSuccesses.js';

/** Options of `createQuarantine`; times in milliseconds. */
export interface QuarantineOptions {
  readonly clock: Clock;
  /** Id of this daemon in its notices; another one after each start. */
  readonly source: string;
  /** Sends a notice of this daemon's crashes to other daemons. */
  readonly publish: (notice: CrashNotice) => void;
  /** Crashes, over all daemons, after which requests with a fingerprint are refused. */
  readonly crashLimit?: number;
  /** How long a request is quarantined that was the only one in flight at a crash. */
  readonly quarantineMs?: number;
  /** Minimum quarantine, however many other requests were in flight. */
  readonly minQuarantineMs?: number;
  /** How long crashes are remembered after the latest one, or after the quarantine has ended. */
  readonly suspicionMs?: number;
  /** How long after a success crashes are not attributed to requests with that fingerprint. */
  readonly successTtlMs?: number;
  /** Maximum number of suspect fingerprints, and of successful ones, that are remembered. */
  readonly capacity?: number;
}

/** Counts, over all daemons, the crashes of upstreams by the requests that they interrupted. */
export interface Quarantine {
  /** How long requests with this fingerprint are still refused, in milliseconds; 0 if they are not. */
  getRemainingMs(fingerprint: string): number;
  /**
   * Records a call that was in flight when an upstream crashed: its connection was lost and the
   * upstream accepts no new ones. `inFlight` is the number of calls that the crash interrupted,
   * including this one.
   */
  recordCrash(fingerprint: string, inFlight: number): void;
  recordSuccess(fingerprint: string): void;
  /**
   * Records a success like `recordSuccess`. The fingerprint is computed now if any crash is remembered, else
   * at the next crash, if that follows within the time for which successes count.
   */
  recordPendingSuccess(computeFingerprint: () => string): void;
  /**
   * Merges the total that another daemon has counted; false if it is known. Idempotent; lower totals
   * are ignored.
   */
  mergeNotice(notice: CrashNotice): boolean;
  /** Whether any crash is remembered. */
  hasSuspects(): boolean;
  /**
   * Lists what another daemon has to be told to refuse the same requests: the counts of all daemons
   * for this fingerprint, or for all; none of fingerprints that are not quarantined.
   */
  listNotices(fingerprint?: string): readonly CrashNotice[];
  list(): readonly {
    readonly fingerprint: string;
    readonly untilMs: number;
    readonly crashes: number;
  }[];
  close(): void;
}

const CRASH_LIMIT = 2;
const QUARANTINE_MS = 600_000;
const MIN_QUARANTINE_MS = 60_000;
const SUSPICION_MS = 600_000;
const SUCCESS_TTL_MS = 10_000;
/** Calls of one fingerprint that are interrupted within this time count as one crash. */
const CRASH_DEDUPLICATION_MS = 1_000;
const MAX_FINGERPRINTS = 10_000;
/** Most successes whose fingerprints are computed together. */
const MAX_PENDING_SUCCESSES = 1_000;

interface CrashCounts {
  readonly ownCrashes: number;
  /** Crashes that other daemons counted, by daemon. */
  readonly reportedCrashes: ReadonlyMap<string, number>;
  /** Lowest number of calls interrupted by one of the crashes: with fewer, the cause is surer. */
  readonly minInFlight: number;
}

interface Suspect extends CrashCounts {
  readonly lastOwnCrashMs: number;
  /** Time of the latest crash that any daemon has counted. */
  readonly lastCrashMs: number;
  readonly quarantinedUntilMs: number;
  readonly expiresAtMs: number;
}

/**
 * Creates a quarantine. Requests whose fingerprint was in flight at two crashes are refused, for a
 * time that is shorter the more calls each crash interrupted. A success clears a fingerprint and
 * exempts it for a while, because a harmless request that is sent often is likely to be in flight at
 * other requests' crashes. Memory is bounded: the least recently updated fingerprint is evicted first.
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  return new CrashQuarantine(options);
}

class CrashQuarantine implements Quarantine {
  private readonly suspects = new Map<string, Suspect>();

  /** Time of the last success of each fingerprint, in milliseconds; least recent first. */
  private readonly successAtMs = new Map<string, number>();

  private readonly pendingSuccesses: PendingSuccesses = createPendingSuccesses();

  private readonly clock: Clock;

  public constructor(private readonly options: QuarantineOptions) {
    this.clock = options.clock;
  }

  public getRemainingMs(fingerprint: string): number {
    const untilMs = this.findSuspect(fingerprint)?.quarantinedUntilMs ?? 0;
    return Math.max(0, untilMs - this.clock());
  }

  public recordCrash(fingerprint: string, inFlight: number): void {
    this.flushPendingSuccesses();
    const known = this.findSuspect(fingerprint) ?? createSuspect();
    const nowMs = this.clock();
    if (this.hasRecentSuccess(fingerprint) || nowMs - known.lastOwnCrashMs < CRASH_DEDUPLICATION_MS)
      return;
    const ownTotal = known.ownCrashes + 1;
    const minInFlight = Math.min(known.minInFlight, inFlight);
    this.updateSuspect(fingerprint, {
      ...known,
      ownCrashes: ownTotal,
      minInFlight,
      lastOwnCrashMs: nowMs,
      lastCrashMs: nowMs,
    });
    const { source, publish } = this.options;
    publish({ source, fingerprint, crashes: ownTotal, inFlight: minInFlight, ageMs: 0 });
  }

  public mergeNotice({ source, fingerprint, crashes, inFlight, ageMs }: CrashNotice): boolean {
    this.flushPendingSuccesses();
    const known = this.findSuspect(fingerprint) ?? createSuspect();
    const knownCrashes =
      source === this.options.source ? Infinity : (known.reportedCrashes.get(source) ?? 0);
    if (this.hasRecentSuccess(fingerprint) || knownCrashes >= crashes) return false;
    const reportedCrashes = new Map(known.reportedCrashes).set(source, crashes);
    const minInFlight = Math.min(known.minInFlight, inFlight);
    const lastCrashMs = Math.max(known.lastCrashMs, this.clock() - ageMs);
    this.updateSuspect(fingerprint, { ...known, reportedCrashes, minInFlight, lastCrashMs });
    return true;
  }

  public hasSuspects(): boolean {
    return this.suspects.size > 0;
  }

  public listNotices(fingerprint?: string): readonly CrashNotice[] {
    const fingerprints = fingerprint === undefined ? [...this.suspects.keys()] : [fingerprint];
    return fingerprints
      .filter((each) => this.getRemainingMs(each) > 0)
      .flatMap((each) => this.buildNotices(each, this.suspects.get(each) as Suspect));
  }

  private buildNotices(fingerprint: string, suspect: Suspect): CrashNotice[] {
    const { ownCrashes, reportedCrashes, minInFlight: inFlight, lastCrashMs } = suspect;
    const ageMs = Math.max(0, Math.round(this.clock() - lastCrashMs));
    const counts = [[this.options.source, ownCrashes] as const, ...reportedCrashes];
    return counts
      .filter(([, crashes]) => crashes > 0)
      .map(([source, crashes]) => ({ source, fingerprint, crashes, inFlight, ageMs }));
  }

  public recordSuccess(fingerprint: string): void {
    this.flushPendingSuccesses();
    this.suspects.delete(fingerprint);
    this.addSuccess(fingerprint, this.clock());
  }

  public recordPendingSuccess(computeFingerprint: () => string): void {
    if (this.hasSuspects()) {
      this.recordSuccess(computeFingerprint());
      return;
    }
    const nowMs = this.clock();
    this.pendingSuccesses.add(computeFingerprint, nowMs, nowMs - this.getSuccessTtlMs());
    if (this.pendingSuccesses.count() >= MAX_PENDING_SUCCESSES) this.flushPendingSuccesses();
  }

  private flushPendingSuccesses(): void {
    if (this.pendingSuccesses.count() === 0) return;
    this.pendingSuccesses.flush(this.clock() - this.getSuccessTtlMs(), (fingerprint, atMs) => {
      this.addSuccess(fingerprint, atMs);
    });
  }

  private addSuccess(fingerprint: string, atMs: number): void {
    this.successAtMs.delete(fingerprint);
    this.successAtMs.set(fingerprint, atMs);
    this.evictOldest(this.successAtMs);
    this.evictExpiredSuccesses();
  }

  private getSuccessTtlMs(): number {
    return this.options.successTtlMs ?? SUCCESS_TTL_MS;
  }

  private evictExpiredSuccesses(): void {
    for (const fingerprint of this.successAtMs.keys()) {
      if (this.hasRecentSuccess(fingerprint)) return;
      this.successAtMs.delete(fingerprint);
    }
  }

  private hasRecentSuccess(fingerprint: string): boolean {
    return this.clock() - (this.successAtMs.get(fingerprint) ?? -Infinity) < this.getSuccessTtlMs();
  }

  public list(): readonly { fingerprint: string; untilMs: number; crashes: number }[] {
    const nowMs = this.clock();
    return [...this.suspects]
      .filter(([, { quarantinedUntilMs }]) => quarantinedUntilMs > nowMs)
      .map(([fingerprint, suspect]) => ({
        fingerprint,
        untilMs: suspect.quarantinedUntilMs,
        crashes: countCrashes(suspect),
      }));
  }

  public close(): void {
    this.suspects.clear();
    this.successAtMs.clear();
    this.pendingSuccesses.clear();
  }

  private findSuspect(fingerprint: string): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || suspect.expiresAtMs > this.clock()) return suspect;
    this.suspects.delete(fingerprint);
    return undefined;
  }

  private updateSuspect(
    fingerprint: string,
    counts: Omit<Suspect, 'quarantinedUntilMs' | 'expiresAtMs'>,
  ): void {
    const { crashLimit = CRASH_LIMIT, suspicionMs = SUSPICION_MS } = this.options;
    const isQuarantined = countCrashes(counts) >= crashLimit;
    const { lastCrashMs } = counts;
    const quarantinedUntilMs = isQuarantined
      ? lastCrashMs + this.computeQuarantineMs(counts.minInFlight)
      : 0;
    const expiresAtMs = Math.max(lastCrashMs, quarantinedUntilMs) + suspicionMs;
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, { ...counts, quarantinedUntilMs, expiresAtMs });
    this.evictOldest(this.suspects);
  }

  private evictOldest(entries: Map<string, unknown>): void {
    const { capacity = MAX_FINGERPRINTS } = this.options;
    const [oldest] = entries.keys();
    if (entries.size > capacity && oldest !== undefined) entries.delete(oldest);
  }

  private computeQuarantineMs(minInFlight: number): number {
    const { quarantineMs = QUARANTINE_MS, minQuarantineMs = MIN_QUARANTINE_MS } = this.options;
    return Math.max(Math.min(minQuarantineMs, quarantineMs), quarantineMs / minInFlight);
  }
}

function createSuspect(): Suspect {
  const crashTimes = { lastOwnCrashMs: -Infinity, lastCrashMs: -Infinity };
  const times = { ...crashTimes, quarantinedUntilMs: 0, expiresAtMs: 0 };
  return { ownCrashes: 0, reportedCrashes: new Map(), minInFlight: Infinity, ...times };
}

function countCrashes(counts: CrashCounts): number {
  let crashes = counts.ownCrashes;
  counts.reportedCrashes.forEach((count) => {
    crashes += count;
  });
  return crashes;
}

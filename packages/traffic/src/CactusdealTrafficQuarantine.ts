import { createHash } from 'node:crypto';
import type { Clock } from '@cactusdeal/shared';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import type { Quarantine } from './CactusdealTrafficPolicyTypes.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What a quarantine is made of; times in milliseconds. */
export interface QuarantineOptions {
  readonly clock: Clock;
  /** Tells the other daemons of the data centre what this one has counted in total. */
  readonly publish: (fingerprint: string, crashes: number, inFlight: number) => void;
  /** Crashes after which a request is kept away. */
  readonly crashLimit?: number;
  /** Time for which a request is kept away that was alone in flight at a crash. */
  readonly quarantineMs?: number;
  /** Least time for which a request is kept away, however many others were in flight. */
  readonly leastQuarantineMs?: number;
  /** How long crashes are remembered after the last one, or after the quarantine. */
  readonly suspicionMs?: number;
  /** How long a success proves that a request does not crash upstreams. */
  readonly trustMs?: number;
  /** Most fingerprints remembered, of suspects and of successes each. */
  readonly capacity?: number;
}

/** A quarantine that also takes in what other daemons counted. */
export interface SharedQuarantine extends Quarantine {
  /** `inFlight` is how many calls, this one included, the crash cut off. */
  recordCrash(fingerprint: string, inFlight?: number): void;
  /** Takes in what the named daemon has counted in total; the same notice twice changes nothing. */
  mergeNotice(source: string, fingerprint: string, crashes: number, inFlight?: number): void;
}

const CRASH_LIMIT = 2;
const QUARANTINE_MS = 600_000;
const LEAST_QUARANTINE_MS = 60_000;
const SUSPICION_MS = 600_000;
const TRUST_MS = 10_000;
/** Calls of one fingerprint that are cut off within this time were cut off by one crash. */
const SAME_CRASH_MS = 1_000;
const CAPACITY = 10_000;

interface Counts {
  readonly own: number;
  /** Crashes counted by other daemons, by daemon. */
  readonly heard: ReadonlyMap<string, number>;
  /** Fewest calls that any of the crashes cut off: the fewer, the surer the blame. */
  readonly leastInFlight: number;
}

interface Suspect extends Counts {
  readonly lastOwnCrashMs: number;
  readonly heldUntilMs: number;
  readonly expiresAtMs: number;
}

/**
 * Creates a quarantine. A request that was in flight at two crashes is kept away, for a time that is
 * shorter the more calls shared the blame. A success clears it, and proves for a while that requests
 * alike do no harm: they may be many. Memory is bounded: what is unseen for longest goes first.
 */
export function createQuarantine(options: QuarantineOptions): SharedQuarantine {
  return new CrashQuarantine(options);
}

class CrashQuarantine implements SharedQuarantine {
  private readonly suspects = new Map<string, Suspect>();

  /** When a request last succeeded, in milliseconds. */
  private readonly successes = new Map<string, number>();

  private readonly clock: Clock;

  public constructor(private readonly options: QuarantineOptions) {
    this.clock = options.clock;
  }

  public check(fingerprint: string): Refusal | undefined {
    const leftMs = (this.find(fingerprint)?.heldUntilMs ?? 0) - this.clock();
    if (leftMs <= 0) return undefined;
    const message = 'request coincided with upstream crashes';
    return createNotRun(RefusalKind.Quarantined, message, leftMs);
  }

  public recordCrash(fingerprint: string, inFlight = 1): void {
    const known = this.find(fingerprint) ?? createSuspect();
    const nowMs = this.clock();
    if (this.isTrusted(fingerprint) || nowMs - known.lastOwnCrashMs < SAME_CRASH_MS) return;
    const own = known.own + 1;
    const leastInFlight = Math.min(known.leastInFlight, inFlight);
    this.hold(fingerprint, { ...known, own, leastInFlight, lastOwnCrashMs: nowMs });
    this.options.publish(fingerprint, own, leastInFlight);
  }

  public mergeNotice(source: string, fingerprint: string, crashes: number, inFlight = 1): void {
    const known = this.find(fingerprint) ?? createSuspect();
    if (this.isTrusted(fingerprint) || (known.heard.get(source) ?? 0) >= crashes) return;
    const heard = new Map(known.heard).set(source, crashes);
    const leastInFlight = Math.min(known.leastInFlight, inFlight);
    this.hold(fingerprint, { ...known, heard, leastInFlight });
  }

  public recordSuccess(fingerprint: string): void {
    this.suspects.delete(fingerprint);
    this.successes.delete(fingerprint);
    this.successes.set(fingerprint, this.clock());
    this.trim(this.successes);
  }

  private isTrusted(fingerprint: string): boolean {
    const { trustMs = TRUST_MS } = this.options;
    return this.clock() - (this.successes.get(fingerprint) ?? -Infinity) < trustMs;
  }

  public list(): readonly { fingerprint: string; untilMs: number; crashes: number }[] {
    const nowMs = this.clock();
    return [...this.suspects]
      .filter(([, { heldUntilMs }]) => heldUntilMs > nowMs)
      .map(([fingerprint, suspect]) => ({
        fingerprint,
        untilMs: suspect.heldUntilMs,
        crashes: countCrashes(suspect),
      }));
  }

  public close(): void {
    this.suspects.clear();
    this.successes.clear();
  }

  private find(fingerprint: string): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || suspect.expiresAtMs > this.clock()) return suspect;
    this.suspects.delete(fingerprint);
    return undefined;
  }

  private hold(fingerprint: string, counts: Omit<Suspect, 'heldUntilMs' | 'expiresAtMs'>): void {
    const { crashLimit = CRASH_LIMIT, suspicionMs = SUSPICION_MS } = this.options;
    const isHeld = countCrashes(counts) >= crashLimit;
    const heldUntilMs = isHeld ? this.clock() + this.computeHeldMs(counts.leastInFlight) : 0;
    const expiresAtMs = Math.max(this.clock(), heldUntilMs) + suspicionMs;
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, { ...counts, heldUntilMs, expiresAtMs });
    this.trim(this.suspects);
  }

  private trim(entries: Map<string, unknown>): void {
    const { capacity = CAPACITY } = this.options;
    const [oldest] = entries.keys();
    if (entries.size > capacity && oldest !== undefined) entries.delete(oldest);
  }

  private computeHeldMs(leastInFlight: number): number {
    const { quarantineMs = QUARANTINE_MS, leastQuarantineMs = LEAST_QUARANTINE_MS } = this.options;
    return Math.max(Math.min(leastQuarantineMs, quarantineMs), quarantineMs / leastInFlight);
  }
}

function createSuspect(): Suspect {
  const times = { lastOwnCrashMs: -Infinity, heldUntilMs: 0, expiresAtMs: 0 };
  return { own: 0, heard: new Map(), leastInFlight: Infinity, ...times };
}

function countCrashes(counts: Counts): number {
  let crashes = counts.own;
  counts.heard.forEach((count) => {
    crashes += count;
  });
  return crashes;
}

/** What tells one request from another for the purpose of quarantine. */
export interface FingerprintParts {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Idempotency key, when the request has one. */
  readonly key?: string;
  /** Body, when it is small enough to be held. */
  readonly body?: Uint8Array;
}

/** Computes the fingerprint of a request: 32 hexadecimal digits of SHA-256. */
export function computeFingerprint(parts: FingerprintParts): string {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([parts.service, parts.method, parts.path, parts.key ?? null]));
  if (parts.key === undefined && parts.body !== undefined) hash.update(parts.body);
  return hash.digest('hex').slice(0, 32);
}

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
  /** Most fingerprints remembered. */
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
const CAPACITY = 10_000;

interface Counts {
  readonly own: number;
  /** Crashes counted by other daemons, by daemon. */
  readonly heard: ReadonlyMap<string, number>;
  /** Fewest calls that any of the crashes cut off: the fewer, the surer the blame. */
  readonly leastInFlight: number;
}

interface Suspect extends Counts {
  readonly heldUntilMs: number;
  readonly expiresAtMs: number;
}

/**
 * Creates a quarantine. A request that was in flight at two crashes is kept away, for a time that is
 * shorter the more calls shared the blame; a success clears it. Memory is bounded: the fingerprint
 * unseen for longest goes first.
 */
export function createQuarantine(options: QuarantineOptions): SharedQuarantine {
  return new CrashQuarantine(options);
}

class CrashQuarantine implements SharedQuarantine {
  private readonly suspects = new Map<string, Suspect>();

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
    const known = this.find(fingerprint) ?? createCounts();
    const own = known.own + 1;
    const leastInFlight = Math.min(known.leastInFlight, inFlight);
    this.hold(fingerprint, { own, heard: known.heard, leastInFlight });
    this.options.publish(fingerprint, own, leastInFlight);
  }

  public mergeNotice(source: string, fingerprint: string, crashes: number, inFlight = 1): void {
    const known = this.find(fingerprint) ?? createCounts();
    if ((known.heard.get(source) ?? 0) >= crashes) return;
    const heard = new Map(known.heard).set(source, crashes);
    const leastInFlight = Math.min(known.leastInFlight, inFlight);
    this.hold(fingerprint, { own: known.own, heard, leastInFlight });
  }

  public recordSuccess(fingerprint: string): void {
    this.suspects.delete(fingerprint);
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
  }

  private find(fingerprint: string): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || suspect.expiresAtMs > this.clock()) return suspect;
    this.suspects.delete(fingerprint);
    return undefined;
  }

  private hold(fingerprint: string, counts: Counts): void {
    const { crashLimit = CRASH_LIMIT, suspicionMs = SUSPICION_MS } = this.options;
    const isHeld = countCrashes(counts) >= crashLimit;
    const heldUntilMs = isHeld ? this.clock() + this.computeHeldMs(counts.leastInFlight) : 0;
    const expiresAtMs = Math.max(this.clock(), heldUntilMs) + suspicionMs;
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, { ...counts, heldUntilMs, expiresAtMs });
    const { capacity = CAPACITY } = this.options;
    const [oldest] = this.suspects.keys();
    if (this.suspects.size > capacity && oldest !== undefined) this.suspects.delete(oldest);
  }

  private computeHeldMs(leastInFlight: number): number {
    const { quarantineMs = QUARANTINE_MS, leastQuarantineMs = LEAST_QUARANTINE_MS } = this.options;
    return Math.max(Math.min(leastQuarantineMs, quarantineMs), quarantineMs / leastInFlight);
  }
}

function createCounts(): Counts {
  return { own: 0, heard: new Map(), leastInFlight: Infinity };
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

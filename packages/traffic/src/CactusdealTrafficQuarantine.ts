import { createHash } from 'node:crypto';
import type { Clock } from '@cactusdeal/shared';
import { buildRefusal } from './CactusdealTrafficGateQueueRefusal.js';
import type { Quarantine } from './CactusdealTrafficPolicyTypes.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What a quarantine is made of; times in milliseconds. */
export interface QuarantineOptions {
  readonly clock: Clock;
  /** Tells the other daemons of the data centre how many crashes this one has counted. */
  readonly publish: (fingerprint: string, crashes: number) => void;
  /** Crashes after which a request is kept away. */
  readonly crashLimit?: number;
  readonly quarantineMs?: number;
  /** How long a crash counts towards the limit. */
  readonly suspicionMs?: number;
  /** Most fingerprints remembered. */
  readonly capacity?: number;
}

/** A quarantine that also takes in what other daemons counted. */
export interface SharedQuarantine extends Quarantine {
  /** Adds the crashes that the named daemon has counted in total for the fingerprint. */
  mergeNotice(source: string, fingerprint: string, crashes: number): void;
}

const CRASH_LIMIT = 2;
const QUARANTINE_MS = 600_000;
const SUSPICION_MS = 600_000;
const CAPACITY = 10_000;

interface Counts {
  readonly own: number;
  /** Crashes counted by other daemons, by daemon. */
  readonly heard: ReadonlyMap<string, number>;
}

interface Suspect extends Counts {
  readonly expiresAtMs: number;
}

/** Creates a quarantine. Memory is bounded: the fingerprint unseen for longest goes first. */
export function createQuarantine(options: QuarantineOptions): SharedQuarantine {
  return new CrashQuarantine(options);
}

class CrashQuarantine implements SharedQuarantine {
  private readonly suspects = new Map<string, Suspect>();

  private readonly clock: Clock;

  private readonly crashLimit: number;

  public constructor(private readonly options: QuarantineOptions) {
    this.clock = options.clock;
    this.crashLimit = options.crashLimit ?? CRASH_LIMIT;
  }

  public check(fingerprint: string): Refusal | undefined {
    const suspect = this.find(fingerprint);
    if (suspect === undefined || countCrashes(suspect) < this.crashLimit) return undefined;
    return buildRefusal(RefusalKind.Quarantined, 'request coincided with upstream crashes', {
      retryAfterMs: suspect.expiresAtMs - this.clock(),
    });
  }

  public recordCrash(fingerprint: string): void {
    const known = this.find(fingerprint);
    const own = (known?.own ?? 0) + 1;
    this.hold(fingerprint, { own, heard: known?.heard ?? new Map() });
    this.options.publish(fingerprint, own);
  }

  public mergeNotice(source: string, fingerprint: string, crashes: number): void {
    const known = this.find(fingerprint);
    if ((known?.heard.get(source) ?? 0) >= crashes) return;
    const heard = new Map(known?.heard).set(source, crashes);
    this.hold(fingerprint, { own: known?.own ?? 0, heard });
  }

  public recordSuccess(fingerprint: string): void {
    this.suspects.delete(fingerprint);
  }

  public list(): readonly { fingerprint: string; untilMs: number; crashes: number }[] {
    return [...this.suspects.keys()]
      .map((fingerprint) => ({ fingerprint, suspect: this.find(fingerprint) }))
      .map(({ fingerprint, suspect }) => ({
        fingerprint,
        untilMs: suspect?.expiresAtMs ?? 0,
        crashes: suspect === undefined ? 0 : countCrashes(suspect),
      }))
      .filter(({ crashes }) => crashes >= this.crashLimit);
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
    const isHeld = countCrashes(counts) >= this.crashLimit;
    const { quarantineMs = QUARANTINE_MS, suspicionMs = SUSPICION_MS } = this.options;
    const expiresAtMs = this.clock() + (isHeld ? quarantineMs : suspicionMs);
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, { ...counts, expiresAtMs });
    const { capacity = CAPACITY } = this.options;
    const [oldest] = this.suspects.keys();
    if (this.suspects.size > capacity && oldest !== undefined) this.suspects.delete(oldest);
  }
}

function countCrashes(suspect: Counts): number {
  let crashes = suspect.own;
  suspect.heard.forEach((count) => {
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

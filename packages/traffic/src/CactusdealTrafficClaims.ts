import type { Platform } from '@cactusdeal/platform';
import { type Clock, type Log, type Random, waitMs } from '@cactusdeal/shared';
import { type Either, Left } from 'purify-ts';
import {
  type ClaimGrouping,
  type ClaimLocation,
  computeClaimLocation,
  parseKeyTime,
} from './CactusdealTrafficClaimsKey.js';
import { createLeaseSource, type LeaseSource } from './CactusdealTrafficClaimsLease.js';
import { ClaimPage } from './CactusdealTrafficClaimsPage.js';
import { buildUnavailable, createPendingClaim } from './CactusdealTrafficClaimsPending.js';
import { type Schedule, scheduleTimeout } from './CactusdealTrafficGateQueue.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import type { Claims, ClaimTicket } from './CactusdealTrafficPolicyTypes.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Options of `createClaims`; times in milliseconds. */
export interface ClaimsOptions {
  readonly platform: Platform;
  /** Id of this daemon; the names of its attempts begin with it. */
  readonly holderId: string;
  /** Wall clock, compared with times in keys and with deadlines that other daemons wrote. */
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  /** How long after the time in the key a claim is kept. */
  readonly retentionMs?: number;
  /** How keys share records; without it, each key has a record of its own. */
  readonly grouping?: ClaimGrouping;
  readonly pause?: (durationMs: number, signal?: AbortSignal) => Promise<void>;
  readonly schedule?: Schedule;
  /** Maximum time that `close` waits for pending changes. */
  readonly closeTimeoutMs?: number;
}

type ClaimRequest = Parameters<Claims['claim']>[0];
type Claimed = Either<Refusal, ClaimTicket>;

const RETENTION_MS = 86_400_000;
const MAX_KEY_FUTURE_MS = 60_000;
/**
 * Upper bound of the backoff before a retry: `MAX_BACKOFF_MS`, or `MAX_BACKOFF_MS_PER_PAGE` times the
 * number of pages if that is more.
 */
const MAX_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS_PER_PAGE = 50;
/** How long changes of shared records wait for claims to be written with. */
const BATCH_DELAY_MS = 250;
const CLOSE_TIMEOUT_MS = 2_000;
/** Maximum number of claims and changes that wait for the platform. */
const MAX_PENDING = 10_000;
/** Number of pages above which an idle one is evicted. */
const MAX_CACHED_PAGES = 64;
/** How long the platform must have failed until claims are refused without calling it. */
const FAILURE_THRESHOLD_MS = 250;
/** Maximum time that `abandon` waits for the key to be released. */
const RELEASE_TIMEOUT_MS = 250;
/** While claims are refused, one per interval is let through to probe the platform. */
const PROBE_INTERVAL_MS = 250;

/**
 * Creates claims. The claim on a key is written to its record in the platform, which it may share
 * with other keys, before the call is sent. Once it is written, no other attempt with the key is
 * granted, unless the first one abandons its claim before anything was sent.
 */
export function createClaims(options: ClaimsOptions): Claims {
  return new PagedClaims(options);
}

class PagedClaims implements Claims {
  private readonly pages = new Map<string, ClaimPage>();

  private readonly retentionMs: number;

  private readonly leases: LeaseSource;

  private readonly attemptPrefix: string;

  private attempts = 0;

  private failingSinceMs: number | undefined;

  private lastProbeMs = -Infinity;

  private isClosed = false;

  public constructor(private readonly options: ClaimsOptions) {
    const { platform, clock, holderId, random } = options;
    this.retentionMs = options.retentionMs ?? RETENTION_MS;
    this.leases = createLeaseSource(platform, clock, this.retentionMs);
    this.attemptPrefix = `${holderId}/${Math.floor(random() * 2 ** 48).toString(36)}`;
  }

  public async claim(request: ClaimRequest): Promise<Claimed> {
    const { clock } = this.options;
    const nowMs = clock();
    const limits = { retentionMs: this.retentionMs, maxFutureMs: MAX_KEY_FUTURE_MS };
    const keyTime = parseKeyTime(request.key, nowMs, limits);
    const refusal = this.refuseEarly(request, nowMs);
    if (refusal !== undefined && keyTime.isRight()) return Left(refusal);
    const { service, key } = request;
    return keyTime.caseOf<Promise<Claimed>>({
      Left: (failure) => Promise.resolve(Left(failure)),
      Right: (keyMs) =>
        this.claimAt(request, computeClaimLocation(service, key, keyMs, this.options.grouping)),
    });
  }

  private refuseEarly(request: ClaimRequest, nowMs: number): Refusal | undefined {
    if (request.signal.aborted) {
      return createNotRun(
        RefusalKind.Cancelled,
        'the caller cancelled before the idempotency key was claimed',
      );
    }
    if (nowMs >= request.deadlineAtMs) {
      return createNotRun(
        RefusalKind.DeadlinePassed,
        'the deadline passed before the idempotency key was claimed',
      );
    }
    return this.isClosed || this.isCircuitOpen(nowMs) || this.countPending() >= MAX_PENDING
      ? buildUnavailable(PROBE_INTERVAL_MS)
      : undefined;
  }

  /** Circuit breaker: true while the platform fails, except for one probe per interval. */
  private isCircuitOpen(nowMs: number): boolean {
    if (this.failingSinceMs === undefined || nowMs - this.failingSinceMs < FAILURE_THRESHOLD_MS)
      return false;
    if (nowMs - this.lastProbeMs < PROBE_INTERVAL_MS) return true;
    this.lastProbeMs = nowMs;
    return false;
  }

  private countPending(): number {
    let pending = 0;
    this.pages.forEach((page) => {
      pending += page.countPending();
    });
    return pending;
  }

  private claimAt(request: ClaimRequest, location: ClaimLocation): Promise<Claimed> {
    const { clock, schedule = scheduleTimeout } = this.options;
    const page = this.getPage(location.platformKey);
    this.attempts += 1;
    const attempt = `${this.attemptPrefix}.${this.attempts.toString(36)}`;
    const { hash } = location;
    const { deadlineAtMs, signal } = request;
    return new Promise((resolve) => {
      const onSettled = (result: Either<Refusal, undefined>): void =>
        resolve(result.map(() => this.createTicket(location, attempt)));
      const common = { hash, attempt, deadlineAtMs, signal };
      page.add(createPendingClaim({ ...common, clock, schedule, onSettled }));
    });
  }

  private createTicket({ hash, platformKey }: ClaimLocation, attempt: string): ClaimTicket {
    let isUsed = false;
    const change = (status: number | undefined, settle: () => void): void => {
      // Above the limit the change is dropped: the key stays claimed without a status, and a resend
      // is refused with the outcome unknown.
      const isAccepted = !isUsed && this.countPending() < MAX_PENDING;
      isUsed = true;
      if (isAccepted) this.getPage(platformKey).change({ hash, attempt, status, settle });
      else settle();
    };
    return {
      complete: (status) => change(status, () => {}),
      abandon: () => this.waitForRelease((settle) => change(undefined, settle)),
    };
  }

  /** Waits a bounded time until the key is free, so that another gate can claim it for the call. */
  private async waitForRelease(release: (settle: () => void) => void): Promise<void> {
    const { pause = waitMs } = this.options;
    const settled = new AbortController();
    release(() => settled.abort());
    await pause(RELEASE_TIMEOUT_MS, settled.signal);
  }

  private getPage(platformKey: string): ClaimPage {
    const known = this.pages.get(platformKey);
    const page = known ?? this.createPage(platformKey);
    this.pages.delete(platformKey);
    this.pages.set(platformKey, page);
    this.evictIdlePage();
    return page;
  }

  private createPage(platformKey: string): ClaimPage {
    const { platform, random, pause = waitMs } = this.options;
    return new ClaimPage({
      platform,
      platformKey,
      leases: this.leases,
      random,
      pause,
      recordPlatformResult: (isSuccess) => this.recordPlatformResult(isSuccess),
      batchDelayMs: this.options.grouping === undefined ? 0 : BATCH_DELAY_MS,
      getMaxBackoffMs: () => Math.max(MAX_BACKOFF_MS, this.pages.size * MAX_BACKOFF_MS_PER_PAGE),
    });
  }

  private evictIdlePage(): void {
    if (this.pages.size <= MAX_CACHED_PAGES) return;
    for (const [platformKey, page] of this.pages) {
      if (!page.isIdle()) continue;
      this.pages.delete(platformKey);
      return;
    }
  }

  private recordPlatformResult(isSuccess: boolean): void {
    const { clock, log } = this.options;
    if (isSuccess && this.failingSinceMs !== undefined) {
      log.info('claims-available', { afterMs: clock() - this.failingSinceMs });
      this.failingSinceMs = undefined;
    }
    if (!isSuccess && this.failingSinceMs === undefined) {
      log.warn('claims-unavailable');
      this.failingSinceMs = clock();
    }
  }

  /** Refuses new claims and waits a bounded time until the pending changes are written. */
  public async close(): Promise<void> {
    this.isClosed = true;
    const { closeTimeoutMs = CLOSE_TIMEOUT_MS, pause = waitMs } = this.options;
    const finished = new AbortController();
    const finishing = Promise.all([...this.pages.values()].map((page) => page.finish()));
    void finishing.then(() => finished.abort());
    await pause(closeTimeoutMs, finished.signal);
    this.pages.forEach((page) => page.stop());
  }
}

import type { Platform } from '@cactusdeal/platform';
import { type Clock, type Log, type Random, waitMs } from '@cactusdeal/shared';
import { type Either, Left } from 'purify-ts';
import {
  type ClaimGrouping,
  type ClaimPlace,
  computeClaimPlace,
  readKeyTime,
} from './CactusdealTrafficClaimsKey.js';
import { createLeaseSource, type LeaseSource } from './CactusdealTrafficClaimsLease.js';
import { ClaimPage } from './CactusdealTrafficClaimsPage.js';
import { buildUnavailable, createPendingClaim } from './CactusdealTrafficClaimsPending.js';
import { type Schedule, scheduleTimeout } from './CactusdealTrafficGateQueue.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import type { Claims, ClaimTicket } from './CactusdealTrafficPolicyTypes.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What claims are made of; times in milliseconds. */
export interface ClaimsOptions {
  readonly platform: Platform;
  /** Name of this daemon. */
  readonly holderId: string;
  /** Wall clock: times of keys and deadlines are compared with it, also those of other daemons. */
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  /** How long after its own time a key is remembered. */
  readonly retentionMs?: number;
  /** Which keys share a record; each key has its own when absent. */
  readonly grouping?: ClaimGrouping;
  readonly pause?: (durationMs: number, signal?: AbortSignal) => Promise<void>;
  readonly schedule?: Schedule;
  /** Longest wait for the last changes at the end. */
  readonly closeMs?: number;
}

type ClaimRequest = Parameters<Claims['claim']>[0];
type Claimed = Either<Refusal, ClaimTicket>;

const RETENTION_MS = 86_400_000;
const LEAD_MS = 60_000;
/** Longest wait between two tries of one record, and its least for each record in work. */
const MOST_BACKOFF_MS = 1_000;
const PAGE_BACKOFF_MS = 50;
const LAZY_MS = 250;
const CLOSE_MS = 2_000;
/** Claims and changes that may wait for the platform. */
const MAX_WORK = 10_000;
/** Pages that are remembered without having anything to write. */
const MAX_IDLE_PAGES = 64;
/** Time without an answer of the platform after which it is taken to fail. */
const PATIENCE_MS = 250;
/** While the platform fails, one claim in this time is let through to try it. */
const RELEASE_MS = 250;
const PROBE_MS = 250;

/**
 * Creates claims. The record of a key, or the one that it shares, is written before the call is
 * sent; once it is written no other attempt with the key is ever granted, unless that attempt gave
 * the key back unsent.
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
    const bounds = { retentionMs: this.retentionMs, leadMs: LEAD_MS };
    const time = readKeyTime(request.key, nowMs, bounds);
    const refusal = this.refuseEarly(request, nowMs);
    if (refusal !== undefined && time.isRight()) return Left(refusal);
    const { service, key } = request;
    return time.caseOf<Promise<Claimed>>({
      Left: (failure) => Promise.resolve(Left(failure)),
      Right: (keyMs) =>
        this.claimPlace(request, computeClaimPlace(service, key, keyMs, this.options.grouping)),
    });
  }

  private refuseEarly(request: ClaimRequest, nowMs: number): Refusal | undefined {
    if (request.signal.aborted) {
      return createNotRun(RefusalKind.Cancelled, 'caller cancelled before the key was claimed');
    }
    if (nowMs >= request.deadlineAtMs) {
      return createNotRun(RefusalKind.DeadlinePassed, 'deadline passed before the key was claimed');
    }
    return this.isClosed || this.isWithheld(nowMs) || this.countWork() >= MAX_WORK
      ? buildUnavailable(PROBE_MS)
      : undefined;
  }

  /** While the platform fails, only a claim now and then is let through to try it. */
  private isWithheld(nowMs: number): boolean {
    if (this.failingSinceMs === undefined || nowMs - this.failingSinceMs < PATIENCE_MS)
      return false;
    if (nowMs - this.lastProbeMs < PROBE_MS) return true;
    this.lastProbeMs = nowMs;
    return false;
  }

  private countWork(): number {
    let work = 0;
    this.pages.forEach((page) => {
      work += page.countWork();
    });
    return work;
  }

  private claimPlace(request: ClaimRequest, place: ClaimPlace): Promise<Claimed> {
    const { clock, schedule = scheduleTimeout } = this.options;
    const page = this.getPage(place.platformKey);
    this.attempts += 1;
    const attempt = `${this.attemptPrefix}.${this.attempts.toString(36)}`;
    const { hash } = place;
    const { deadlineAtMs, signal } = request;
    return new Promise((resolve) => {
      const settle = (result: Either<Refusal, undefined>): void =>
        resolve(result.map(() => this.createTicket(place, attempt)));
      const common = { hash, attempt, deadlineAtMs, signal };
      page.add(createPendingClaim({ ...common, clock, schedule, settle }));
    });
  }

  private createTicket({ hash, platformKey }: ClaimPlace, attempt: string): ClaimTicket {
    let isUsed = false;
    const change = (status: number | undefined, settle: () => void): void => {
      // Without room a key stays claimed without an outcome, which resends read as unknown.
      const isTaken = !isUsed && this.countWork() < MAX_WORK;
      isUsed = true;
      if (isTaken) this.getPage(platformKey).change({ hash, attempt, status, settle });
      else settle();
    };
    return {
      complete: (status) => change(status, () => {}),
      abandon: () => this.waitForRelease((settle) => change(undefined, settle)),
    };
  }

  /** Waits a little for the key to be free, so that another gate can claim it for the same call. */
  private async waitForRelease(release: (settle: () => void) => void): Promise<void> {
    const { pause = waitMs } = this.options;
    const settled = new AbortController();
    release(() => settled.abort());
    await pause(RELEASE_MS, settled.signal);
  }

  private getPage(platformKey: string): ClaimPage {
    const known = this.pages.get(platformKey);
    const page = known ?? this.createPage(platformKey);
    this.pages.delete(platformKey);
    this.pages.set(platformKey, page);
    this.evictPages();
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
      recordAnswer: (isAnswered) => this.recordAnswer(isAnswered),
      lazyMs: this.options.grouping === undefined ? 0 : LAZY_MS,
      getMostBackoffMs: () => Math.max(MOST_BACKOFF_MS, this.pages.size * PAGE_BACKOFF_MS),
    });
  }

  private evictPages(): void {
    if (this.pages.size <= MAX_IDLE_PAGES) return;
    for (const [platformKey, page] of this.pages) {
      if (!page.isIdle()) continue;
      this.pages.delete(platformKey);
      return;
    }
  }

  private recordAnswer(isAnswered: boolean): void {
    const { clock, log } = this.options;
    if (isAnswered && this.failingSinceMs !== undefined) {
      log.info('claims-available', { afterMs: clock() - this.failingSinceMs });
      this.failingSinceMs = undefined;
    }
    if (!isAnswered && this.failingSinceMs === undefined) {
      log.warn('claims-unavailable');
      this.failingSinceMs = clock();
    }
  }

  /** Refuses new claims, and waits a bounded time for what is still to be written. */
  public async close(): Promise<void> {
    this.isClosed = true;
    const { closeMs = CLOSE_MS, pause = waitMs } = this.options;
    const finished = new AbortController();
    const finishing = Promise.all([...this.pages.values()].map((page) => page.finish()));
    void finishing.then(() => finished.abort());
    await pause(closeMs, finished.signal);
    this.pages.forEach((page) => page.stop());
  }
}

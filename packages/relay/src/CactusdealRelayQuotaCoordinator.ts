import { createQuotaBucket, type QuotaBucket } from './CactusdealRelayQuotaBucket.js';
import type {
  NamedThrottle,
  QuotaCount,
  QuotaSum,
  QuotaSummary,
  QuotaUsage,
} from './CactusdealRelayQuotaWire.js';
import type { OrganisationRule } from './CactusdealRelayTypes.js';

/** Keeps the buckets of all organisations for the entries that report to this daemon. */
export interface QuotaCoordinator {
  /** Sets the organisations that have a quota. */
  setRules(rules: readonly OrganisationRule[], nowMs: number): void;
  /** Records a report; true if it shows that a quota is used up so fast that others should learn it at once. */
  receiveUsage(memberId: string, usages: readonly QuotaUsage[], nowMs: number): boolean;
  receiveSummary(memberId: string, summary: QuotaSummary, nowMs: number): void;
  /** Decides which organisations are throttled; `hosts` is the number of all known hosts. */
  decide(hosts: number, nowMs: number): void;
  listThrottles(): readonly NamedThrottle[];
  /** Takes the counts since the last summary. */
  takeSummary(nowMs: number): QuotaSummary;
  /** Whether hosts other than this one report, directly or through another coordinator. */
  hasOtherHosts(nowMs: number): boolean;
}

/** Silence after which an entry, which reports once a second at least, counts as isolated. */
const ENTRY_SILENCE_MS = 1_750;
/** Silence after which another coordinator, and with it its hosts, counts as cut off. */
const COORDINATOR_SILENCE_MS = 600;
/**
 * Time after the start, and after the first report of another host, in which all hosts count as reporting: each
 * needs this time to report.
 */
const START_MS = 1_500;
/**
 * Part of the burst with which buckets start beside a daemon that has just started. All may have been
 * restarted during a surge, before which the burst was used up.
 */
const START_FULLNESS = 0.25;

interface CoordinatedHosts {
  readonly hosts: number;
  readonly atMs: number;
}

/**
 * Creates the coordinator's part of a daemon.
 *
 * Load pattern: a data centre is cut off, hosts or coordinators end, while organisations go on. Hosts
 * that do not report count as using their share of each quota, so that both sides of a partition add up
 * to the quota; which side a daemon is on follows from the number of hosts that report.
 */
export function createQuotaCoordinator(selfId: string): QuotaCoordinator {
  return new BucketCoordinator(selfId);
}

class BucketCoordinator implements QuotaCoordinator {
  private readonly buckets = new Map<string, QuotaBucket>();

  /** Time of the last report of each entry. */
  private readonly reportedAtMs = new Map<string, number>();

  private readonly others = new Map<string, CoordinatedHosts>();

  private readonly pending = new Map<string, { arrivals: number; admitted: number }>();

  /** Organisations whose throttling by an earlier coordinator is continued. */
  private readonly adopted = new Set<string>();

  private startedAtMs = -Infinity;

  public constructor(private readonly selfId: string) {}

  public setRules(rules: readonly OrganisationRule[], nowMs: number): void {
    const names = new Set(rules.map(({ name }) => name));
    const isStart = this.buckets.size === 0;
    if (isStart) this.startedAtMs = nowMs;
    const fullness = isStart ? START_FULLNESS : 1;
    this.buckets.forEach((_, name) => {
      if (!names.has(name)) this.buckets.delete(name);
    });
    rules.forEach((rule) => {
      const bucket = this.buckets.get(rule.name);
      if (bucket === undefined)
        this.buckets.set(rule.name, createQuotaBucket(rule, nowMs, fullness));
      else bucket.setRule(rule, nowMs);
    });
  }

  public receiveUsage(memberId: string, usages: readonly QuotaUsage[], nowMs: number): boolean {
    if (memberId !== this.selfId && this.countOtherReporters(nowMs) === 0) {
      this.startedAtMs = nowMs;
      this.adopted.clear();
    }
    this.reportedAtMs.set(memberId, nowMs);
    let isUrgent = false;
    usages.forEach((usage) => {
      const bucket = this.buckets.get(usage.name);
      if (bucket === undefined) return;
      this.adopt(bucket, usage, nowMs);
      bucket.record(usage, nowMs);
      this.addPending(usage);
      isUrgent ||= bucket.isUrgent();
    });
    return isUrgent;
  }

  private adopt(bucket: QuotaBucket, { name, throttle }: QuotaUsage, nowMs: number): void {
    const isNew = nowMs - this.startedAtMs < START_MS;
    if (throttle === undefined || !isNew || this.adopted.has(name)) return;
    this.adopted.add(name);
    bucket.adopt(throttle, nowMs);
  }

  private addPending({ name, arrivals, admitted }: QuotaCount): void {
    const sum = this.pending.get(name);
    if (sum === undefined) this.pending.set(name, { arrivals, admitted });
    else {
      sum.arrivals += arrivals;
      sum.admitted += admitted;
    }
  }

  public receiveSummary(memberId: string, { hosts, sums }: QuotaSummary, nowMs: number): void {
    this.others.set(memberId, { hosts, atMs: nowMs });
    sums.forEach((sum) => {
      const bucket = this.buckets.get(sum.name);
      bucket?.record(sum, nowMs);
      bucket?.lower(sum.level, nowMs);
    });
  }

  public decide(hosts: number, nowMs: number): void {
    const coverage = this.computeCoverage(hosts, nowMs);
    this.buckets.forEach((bucket) => {
      bucket.setCoverage(coverage, nowMs);
      bucket.decide(nowMs);
    });
  }

  private computeCoverage(hosts: number, nowMs: number): number {
    const reporting = this.countReporters(nowMs) + this.countOthers(nowMs);
    if (nowMs - this.startedAtMs < START_MS || reporting >= hosts) return 1;
    return Math.max(1, reporting) / hosts;
  }

  private countReporters(nowMs: number): number {
    this.reportedAtMs.forEach((atMs, id) => {
      if (nowMs - atMs > ENTRY_SILENCE_MS) this.reportedAtMs.delete(id);
    });
    return this.reportedAtMs.size;
  }

  private countOtherReporters(nowMs: number): number {
    return this.countReporters(nowMs) - (this.reportedAtMs.has(this.selfId) ? 1 : 0);
  }

  private countOthers(nowMs: number): number {
    let sum = 0;
    this.others.forEach(({ hosts, atMs }, id) => {
      if (nowMs - atMs > COORDINATOR_SILENCE_MS) this.others.delete(id);
      else sum += hosts;
    });
    return sum;
  }

  public listThrottles(): readonly NamedThrottle[] {
    const throttles: NamedThrottle[] = [];
    this.buckets.forEach((bucket, name) => {
      const throttle = bucket.getThrottle();
      if (throttle !== undefined) throttles.push({ name, ...throttle });
    });
    return throttles;
  }

  public takeSummary(nowMs: number): QuotaSummary {
    const sums: QuotaSum[] = [];
    this.buckets.forEach((bucket, name) => {
      const count = this.pending.get(name);
      if (count === undefined && !bucket.isShort()) return;
      sums.push({ name, arrivals: 0, admitted: 0, ...count, level: bucket.getLevel() });
    });
    this.pending.clear();
    return { hosts: this.countReporters(nowMs), sums };
  }

  public hasOtherHosts(nowMs: number): boolean {
    return this.countOtherReporters(nowMs) + this.countOthers(nowMs) > 0;
  }
}

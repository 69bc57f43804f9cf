import type { QuotaCount, QuotaThrottle } from './CactusdealRelayQuotaWire.js';
import type { OrganisationRule } from './CactusdealRelayTypes.js';

/** A coordinator's view of one organisation's quota over all daemons. Times in milliseconds. */
export interface QuotaBucket {
  setRule(rule: QuotaRule, nowMs: number): void;
  /**
   * Sets which part of all hosts the counts come from, 0 to 1. The others count as using their share of
   * rate and burst, and give the share of the burst back when they report again.
   */
  setCoverage(coverage: number, nowMs: number): void;
  record(count: Pick<QuotaCount, 'arrivals' | 'admitted'>, nowMs: number): void;
  /** Lowers the level towards that of another coordinator, which may have counted more. */
  lower(level: number, nowMs: number): void;
  /** Continues the throttling of an earlier coordinator. */
  adopt(throttle: QuotaThrottle, nowMs: number): void;
  /** Starts, updates or ends the throttling. */
  decide(nowMs: number): void;
  /** The level, in calls. */
  getLevel(): number;
  /** The throttling by the last decision; undefined if all calls are admitted. */
  getThrottle(): QuotaThrottle | undefined;
  /** Whether so much is used that other coordinators should know the level. */
  isShort(): boolean;
  /** Whether the level falls so fast that they should know it before the interval ends. */
  isUrgent(): boolean;
}

export type QuotaRule = Pick<OrganisationRule, 'callsPerSecond' | 'burst'>;

const MS_PER_SECOND = 1_000;
/** Time constant of the demand's exponential moving average. */
const DEMAND_MS = 300;
/** Time in which a level other than 0 is evened out. */
const CORRECTION_MS = 1_000;
/**
 * Admissions are counted later than they happen, many at a time. What a full bucket was refilled in the
 * meantime is set off against them, and is forgotten with this time constant.
 */
const SPARE_MS = 300;
/** Calls beyond the burst; part of the 20 calls that the quota's limit tolerates. */
const EXTRA_CALLS = 4;
/** Admissions of this time have not been counted yet when throttling begins. */
const UNSEEN_MS = 300;
/** What hosts may have used unseen before they count as silent. */
const SILENCE_MS = 600;
/** Longest time in which the charge for hosts that fall silent is paid off. */
const MAX_CHARGE_MS = 2_000;
/** Levels of two coordinators differ by what passes in this time, as messages take time. */
const LEVEL_AGE_MS = 500;
const SHORT_FRACTION = 0.5;
const URGENT_DEMAND = 1.5;

/**
 * Creates the bucket of an organisation with this fraction of its burst.
 *
 * Load pattern: one of many organisations raises its calls from 0.6 to 4.7 times its rate on all
 * entries at once, while the others stay within theirs and send less than one call a second to most
 * entries. No entry can tell the two from its own calls, so that the sum decides. An organisation that
 * sends its whole burst at once is within its quota: only a level below 0 shows the opposite, and no
 * forecast starts the throttling.
 */
export function createQuotaBucket(
  initialRule: QuotaRule,
  createdAtMs: number,
  fullness = 1,
): QuotaBucket {
  return new OrganisationBucket(initialRule, createdAtMs, fullness);
}

class OrganisationBucket implements QuotaBucket {
  private coverage = 1;

  private level: number;

  /** Refill that a full bucket had no room for lately. */
  private spare = 0;

  private countedAtMs: number;

  /** Arrivals, each weighted by its age. */
  private recentArrivals = 0;

  private throttle: QuotaThrottle | undefined;

  public constructor(
    private rule: QuotaRule,
    createdAtMs: number,
    fullness: number,
  ) {
    this.level = rule.burst * fullness + EXTRA_CALLS;
    this.countedAtMs = createdAtMs;
  }

  public setRule(rule: QuotaRule, nowMs: number): void {
    this.advance(nowMs);
    this.rule = rule;
    this.level = Math.min(this.level, this.computeCapacity());
  }

  public setCoverage(coverage: number, nowMs: number): void {
    if (coverage === this.coverage) return;
    this.advance(nowMs);
    const lost = this.coverage - coverage;
    this.coverage = coverage;
    if (lost > 0) this.charge(lost);
    else this.level += -lost * this.rule.burst;
  }

  /** The silent hosts may have used their share of the burst, and of the rate while they seemed alive. */
  private charge(lost: number): void {
    const { callsPerSecond, burst } = this.rule;
    const used = lost * (burst + (callsPerSecond * SILENCE_MS) / MS_PER_SECOND);
    const least = (-this.computeRate() * MAX_CHARGE_MS) / MS_PER_SECOND;
    this.level = Math.min(this.level, Math.max(least, this.level - used), this.computeCapacity());
  }

  public record({ arrivals, admitted }: QuotaCount, nowMs: number): void {
    this.advance(nowMs);
    this.recentArrivals += arrivals;
    const setOff = Math.min(this.spare, Math.max(0, admitted));
    this.spare -= setOff;
    this.level = Math.min(this.computeCapacity(), this.level - admitted + setOff);
  }

  public lower(level: number, nowMs: number): void {
    this.advance(nowMs);
    const tolerance = (this.rule.callsPerSecond * LEVEL_AGE_MS) / MS_PER_SECOND + EXTRA_CALLS;
    this.level = Math.min(this.level, level + tolerance);
  }

  public adopt(throttle: QuotaThrottle, nowMs: number): void {
    this.advance(nowMs);
    this.level = Math.min(this.level, throttle.level);
    this.recentArrivals = (throttle.demand * DEMAND_MS) / MS_PER_SECOND;
    this.throttle = throttle;
  }

  public decide(nowMs: number): void {
    this.advance(nowMs);
    const rate = this.computeRate();
    const demand = this.computeDemand();
    const isThrottled = this.throttle !== undefined;
    if (!isThrottled && (this.level >= 0 || demand <= rate)) return;
    const unseen = isThrottled ? 0 : ((demand - rate) * UNSEEN_MS) / MS_PER_SECOND;
    const correction = ((this.level - unseen) * MS_PER_SECOND) / CORRECTION_MS;
    const admittedRate = Math.max(0, rate + correction);
    const { level } = this;
    this.throttle =
      admittedRate >= demand ? undefined : { fraction: admittedRate / demand, level, demand };
  }

  public getLevel(): number {
    return this.level;
  }

  public getThrottle(): QuotaThrottle | undefined {
    return this.throttle;
  }

  public isShort(): boolean {
    return this.level < this.computeCapacity() * SHORT_FRACTION;
  }

  public isUrgent(): boolean {
    const isFalling = this.computeDemand() > URGENT_DEMAND * this.computeRate();
    return this.throttle === undefined && isFalling && this.isShort();
  }

  private advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.countedAtMs);
    if (elapsedMs === 0) return;
    this.countedAtMs = nowMs;
    this.recentArrivals *= Math.exp(-elapsedMs / DEMAND_MS);
    const refill = (this.computeRate() * elapsedMs) / MS_PER_SECOND;
    const capacity = this.computeCapacity();
    const lost = Math.max(0, this.level + refill - capacity);
    this.spare = this.spare * Math.exp(-elapsedMs / SPARE_MS) + lost;
    this.level = Math.min(capacity, this.level + refill);
  }

  private computeRate(): number {
    return this.rule.callsPerSecond * this.coverage;
  }

  private computeDemand(): number {
    return (this.recentArrivals * MS_PER_SECOND) / DEMAND_MS;
  }

  private computeCapacity(): number {
    return (this.rule.burst + EXTRA_CALLS) * this.coverage;
  }
}

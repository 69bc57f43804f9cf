import type { Random } from '@cactusdeal/shared';
import type { NamedThrottle, QuotaThrottle, QuotaUsage } from './CactusdealRelayQuotaWire.js';
import type { OrganisationRule } from './CactusdealRelayTypes.js';

/** Whether a call of an organisation is within its quota. */
export interface QuotaDecision {
  readonly isAdmitted: boolean;
  /** Time after which a call of the organisation can expect to be admitted, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Applies the quotas to the calls of one entry. */
export interface EntryQuotas {
  admit(organisation: OrganisationRule, nowMs: number): QuotaDecision;
  /** Gives back a call that was admitted and has not run. */
  release(name: string): void;
  /** Applies the complete list of throttled organisations. */
  setThrottles(throttles: readonly NamedThrottle[]): void;
  /** Sets whether no coordinator responds, and among how many hosts the quotas are divided then. */
  setIsolation(isIsolated: boolean, hosts: number): void;
  /** Whether an organisation's calls should be reported before the interval ends. */
  hasSurge(): boolean;
  /** Takes what was counted since the last time; organisations without calls are left out. */
  takeUsage(nowMs: number): readonly QuotaUsage[];
  /** Forgets what was counted. */
  discardUsage(nowMs: number): void;
  /** Forgets organisations that the configuration no longer has. */
  retain(names: ReadonlySet<string>): void;
  /** Lists the throttled organisations. */
  listThrottles(): readonly NamedThrottle[];
}

const MS_PER_SECOND = 1_000;
/** Calls beyond a multiple of the organisation's whole rate that are reported at once. */
const SURGE_CALLS = 4;
const SURGE_FACTOR = 2;
const MIN_SPREAD_MS = 500;
const MAX_SPREAD_MS = 5_000;
/** Longest base of retry-after; isolation mostly ends within this time. */
const MAX_BASE_MS = 3_000;
/** Time constant of the moving average of an entry's arrivals. */
const LOCAL_DEMAND_MS = 1_000;
/** Less than this many missing arrivals are taken for chance. */
const LULL_ARRIVALS = 3;
const ADMITTED: QuotaDecision = { isAdmitted: true, retryAfterMs: 0 };

/** What an entry keeps of an organisation. */
interface OrganisationState {
  arrivals: number;
  admitted: number;
  throttle: QuotaThrottle | undefined;
  /** Error of the fraction: a call is admitted when it reaches 1. */
  error: number;
  /** Mean arrivals per second at this entry, by the last arrival, and its time. */
  localDemand: number;
  arrivedAtMs: number;
  /** Calls that may be admitted in isolation, with the time for which they were counted. */
  tokens: number | undefined;
  tokensAtMs: number;
}

/**
 * Creates the limiter of an entry, isolated until a coordinator responds.
 *
 * Load pattern: most organisations send less than one call a second to an entry. A share of the quota
 * for each entry would refuse calls within it, so that all calls are admitted while the organisation as
 * a whole is within its quota. A fraction is applied by error diffusion: entries with one call each
 * admit it with the probability of the fraction, as each starts at a random phase. Once calls arrive
 * more slowly than those that the fraction was computed from, each gets the part of the time since the
 * last one, so that little is refused after a surge has ended.
 */
export function createEntryQuotas(random: Random): EntryQuotas {
  return new QuotaEntryLimiter(random);
}

class QuotaEntryLimiter implements EntryQuotas {
  private readonly states = new Map<string, OrganisationState>();

  private isIsolated = true;

  private hosts = 1;

  private countedSinceMs: number | undefined;

  private isSurging = false;

  public constructor(private readonly random: Random) {}

  public admit(organisation: OrganisationRule, nowMs: number): QuotaDecision {
    if (organisation.callsPerSecond <= 0) return ADMITTED;
    const state = this.findState(organisation.name);
    state.arrivals += 1;
    this.checkSurge(organisation, state, nowMs);
    const refusal = this.isIsolated
      ? this.takeToken(organisation, state, nowMs)
      : this.applyFraction(organisation, state, nowMs);
    if (refusal !== undefined) return refusal;
    state.admitted += 1;
    return ADMITTED;
  }

  private checkSurge(
    { callsPerSecond }: OrganisationRule,
    { arrivals, throttle }: OrganisationState,
    nowMs: number,
  ): void {
    this.countedSinceMs ??= nowMs;
    if (throttle !== undefined) return;
    const explained =
      (SURGE_FACTOR * callsPerSecond * (nowMs - this.countedSinceMs)) / MS_PER_SECOND;
    if (arrivals > explained + SURGE_CALLS) this.isSurging = true;
  }

  /** Admits a host's share of the rate, and one call at the start at least. */
  private takeToken(
    { callsPerSecond, burst }: OrganisationRule,
    organisationState: OrganisationState,
    nowMs: number,
  ): QuotaDecision | undefined {
    const state = organisationState;
    const share = callsPerSecond / this.hosts;
    const capacity = Math.max(1, burst / this.hosts);
    const elapsedMs = nowMs - state.tokensAtMs;
    const refilled = (state.tokens ?? capacity) + (share * elapsedMs) / MS_PER_SECOND;
    state.tokens = Math.min(capacity, refilled);
    state.tokensAtMs = nowMs;
    if (state.tokens < 1) {
      const baseMs = ((1 - state.tokens) * MS_PER_SECOND) / share;
      return this.buildRefusal(baseMs, MIN_SPREAD_MS);
    }
    state.tokens -= 1;
    return undefined;
  }

  private applyFraction(
    { callsPerSecond }: OrganisationRule,
    organisationState: OrganisationState,
    nowMs: number,
  ): QuotaDecision | undefined {
    const state = organisationState;
    const { throttle } = state;
    const expectedArrivals = updateLocalDemand(state, nowMs);
    if (throttle === undefined) return undefined;
    state.error += Math.min(
      1,
      throttle.fraction * (expectedArrivals > LULL_ARRIVALS ? expectedArrivals : 1),
    );
    if (state.error >= 1) {
      state.error -= 1;
      return undefined;
    }
    // What was refused within a second needs this many seconds of the rate.
    const excess = Math.max(0, throttle.demand / callsPerSecond - 1);
    const missing = Math.max(1, -throttle.level);
    return this.buildRefusal((missing * MS_PER_SECOND) / callsPerSecond, excess * MS_PER_SECOND);
  }

  /** Spreads the calls that come again over `spreadMs`. */
  private buildRefusal(baseMs: number, spreadMs: number): QuotaDecision {
    const boundedMs = Math.min(MAX_SPREAD_MS, Math.max(MIN_SPREAD_MS, spreadMs));
    const retryAfterMs = Math.min(MAX_BASE_MS, baseMs) + this.random() * boundedMs;
    return { isAdmitted: false, retryAfterMs: Math.round(retryAfterMs) };
  }

  public release(name: string): void {
    const state = this.states.get(name);
    if (state === undefined) return;
    state.admitted -= 1;
    if (this.isIsolated && state.tokens !== undefined) state.tokens += 1;
  }

  public setThrottles(throttles: readonly NamedThrottle[]): void {
    this.states.forEach((organisationState) => {
      const state = organisationState;
      state.throttle = undefined;
    });
    throttles.forEach(({ name, ...throttle }) => {
      this.findState(name).throttle = throttle;
    });
  }

  public setIsolation(isIsolated: boolean, hosts: number): void {
    this.isIsolated = isIsolated;
    this.hosts = Math.max(1, hosts);
  }

  public hasSurge(): boolean {
    return this.isSurging;
  }

  public takeUsage(nowMs: number): readonly QuotaUsage[] {
    const usages: QuotaUsage[] = [];
    this.states.forEach(({ arrivals, admitted, throttle }, name) => {
      if (arrivals !== 0 || admitted !== 0) usages.push({ name, arrivals, admitted, throttle });
    });
    this.discardUsage(nowMs);
    return usages;
  }

  public discardUsage(nowMs: number): void {
    this.states.forEach((organisationState) => {
      const state = organisationState;
      state.arrivals = 0;
      state.admitted = 0;
    });
    this.countedSinceMs = nowMs;
    this.isSurging = false;
  }

  public retain(names: ReadonlySet<string>): void {
    this.states.forEach((_, name) => {
      if (!names.has(name)) this.states.delete(name);
    });
  }

  public listThrottles(): readonly NamedThrottle[] {
    const throttles: NamedThrottle[] = [];
    this.states.forEach(({ throttle }, name) => {
      if (throttle !== undefined) throttles.push({ name, ...throttle });
    });
    return throttles;
  }

  private findState(name: string): OrganisationState {
    const found = this.states.get(name);
    if (found !== undefined) return found;
    const created: OrganisationState = {
      arrivals: 0,
      admitted: 0,
      throttle: undefined,
      error: this.random(),
      localDemand: 0,
      arrivedAtMs: 0,
      tokens: undefined,
      tokensAtMs: 0,
    };
    this.states.set(name, created);
    return created;
  }
}

/** Counts an arrival; returns how many calls would have arrived since the last one at the mean rate. */
function updateLocalDemand(organisationState: OrganisationState, nowMs: number): number {
  const state = organisationState;
  const elapsedMs = nowMs - state.arrivedAtMs;
  const demand = state.localDemand * Math.exp(-elapsedMs / LOCAL_DEMAND_MS);
  state.localDemand = demand + MS_PER_SECOND / LOCAL_DEMAND_MS;
  state.arrivedAtMs = nowMs;
  return (demand * elapsedMs) / MS_PER_SECOND;
}

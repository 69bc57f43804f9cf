import type { Clock, Log } from '@cactusdeal/shared';
import { createRateLimit, type RateLimit } from './CactusdealRelayRateLimit.js';
import type { NamedLimit, Upstream } from './CactusdealRelayTypes.js';

/** The limit that the upstream on this host names, and how many calls it gets meanwhile. */
export interface UpstreamLimit {
  /** Spaces the calls to the upstream by the limit in force. */
  readonly rateLimit: RateLimit;
  /** Sets the current instance; the limit of another one ends. */
  setUpstream(upstream: Upstream): void;
  /** Records that a call is sent to the upstream. */
  recordCall(isNested: boolean): void;
  /**
   * Applies what the answer to a call sent at `sentAtMs` names: calls per second, or undefined for no
   * limit.
   */
  recordAnswer(upstream: Upstream, sentAtMs: number, callsPerSecond: number | undefined): void;
  /** Applies a limit that this daemon knew before its restart, until the upstream's first answer. */
  restore(named: NamedLimit): void;
  /** The limit in force; undefined if there is none. */
  get(): NamedLimit | undefined;
}

export interface UpstreamLimitOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Called when the limit begins, ends or changes noticeably. */
  readonly observe: () => void;
}

/** Interval between log lines that compare the calls sent with the limit, in milliseconds. */
const USE_LOG_INTERVAL_MS = 4_000;
/** Least relative change of the limit that is noticeable. */
const NOTICED_CHANGE_FRACTION = 0.1;
/** Number of instances whose restored limits are kept until their first heartbeat. */
const MAX_RESTORED_LIMITS = 8;

export function createUpstreamLimit({ clock, log, observe }: UpstreamLimitOptions): UpstreamLimit {
  const rateLimit = createRateLimit();
  const restoredLimits = new Map<string, NamedLimit>();
  let instance: Upstream | undefined;
  let limit: NamedLimit | undefined;
  let hasAnswered = false;
  let namedAtMs = -Infinity;
  let noticedCallsPerSecond: number | undefined;
  let use = createUse(clock());
  return {
    rateLimit,
    setUpstream,
    recordCall: (isNested) => {
      use.calls += 1;
      if (isNested) use.nestedCalls += 1;
    },
    recordAnswer,
    restore: addRestored,
    get: () => limit,
  };

  function setUpstream(next: Upstream): void {
    if (instance !== undefined && formatInstance(instance) === formatInstance(next)) return;
    instance = next;
    hasAnswered = false;
    namedAtMs = -Infinity;
    apply(restoredLimits.get(formatInstance(next))?.callsPerSecond);
    restoredLimits.clear();
  }

  // Answers may overtake one another: one without a limit ends it only if its call was sent later.
  function recordAnswer(
    upstream: Upstream,
    sentAtMs: number,
    callsPerSecond: number | undefined,
  ): void {
    if (instance === undefined || formatInstance(instance) !== formatInstance(upstream)) return;
    hasAnswered = true;
    if (callsPerSecond !== undefined) namedAtMs = clock();
    else if (sentAtMs < namedAtMs) return;
    apply(callsPerSecond);
    logUse();
  }

  function addRestored(named: NamedLimit): void {
    const isCurrent = instance !== undefined && formatInstance(instance) === formatInstance(named);
    if (isCurrent) {
      const known = limit?.callsPerSecond ?? Infinity;
      if (!hasAnswered) apply(Math.min(known, named.callsPerSecond));
    } else if (restoredLimits.size < MAX_RESTORED_LIMITS) {
      const known = restoredLimits.get(formatInstance(named));
      if (known === undefined || named.callsPerSecond < known.callsPerSecond)
        restoredLimits.set(formatInstance(named), named);
    }
  }

  function apply(callsPerSecond: number | undefined): void {
    rateLimit.set(callsPerSecond, clock());
    limit =
      callsPerSecond === undefined || instance === undefined
        ? undefined
        : { id: instance.id, startedAtMs: instance.startedAtMs, callsPerSecond };
    if (!isNoticeable(noticedCallsPerSecond, callsPerSecond)) return;
    if (noticedCallsPerSecond === undefined) use = createUse(clock());
    noticedCallsPerSecond = callsPerSecond;
    log.info('upstream-limited', { upstream: instance?.id, callsPerSecond });
    observe();
  }

  function logUse(): void {
    const durationMs = clock() - use.sinceMs;
    if (limit === undefined || durationMs < USE_LOG_INTERVAL_MS) return;
    const { calls, nestedCalls } = use;
    const fields = { upstream: limit.id, callsPerSecond: limit.callsPerSecond, calls, nestedCalls };
    log.info('upstream-limit-used', { ...fields, durationMs: Math.round(durationMs) });
    use = createUse(clock());
  }
}

/** Calls sent to the upstream since a point in time. */
interface Use {
  readonly sinceMs: number;
  calls: number;
  nestedCalls: number;
}

function createUse(sinceMs: number): Use {
  return { sinceMs, calls: 0, nestedCalls: 0 };
}

function formatInstance({ id, startedAtMs }: Pick<Upstream, 'id' | 'startedAtMs'>): string {
  return `${id} ${startedAtMs}`;
}

function isNoticeable(before: number | undefined, next: number | undefined): boolean {
  if (before === undefined || next === undefined) return before !== next;
  return Math.abs(next - before) > before * NOTICED_CHANGE_FRACTION;
}

import { type Clock, type Log, scheduleTicks } from '@cactusdeal/shared';
import { createDepartures, isMoreFinal } from './CactusdealRelayDepartures.js';
import { type Heartbeat, isSameInstance, type Upstream } from './CactusdealRelayTypes.js';

/**
 * Tracks the current instance of the upstream on this host. Heartbeats, ends and what answers and other daemons tell
 * may arrive in any order, and nothing may have been heard of an instance before its end. Each of them speaks of the
 * instances with its id that have started until a point in time: it counts for all of those, and for no later one.
 */
export interface UpstreamTracker {
  /** Handles a heartbeat; false if it is outdated or its instance has ended. */
  receive(heartbeat: Heartbeat): boolean;
  /**
   * Handles the end of an instance; `startedAtMs` is undefined if the upstream did not name it.
   * False if that instance is not the current one or a later one with its id.
   */
  receiveEnd(id: string, startedAtMs: number | undefined): boolean;
  /**
   * Handles what another daemon knows of the upstream on this host: that instances of it are
   * draining, leaving or gone, as this daemon was told before its restart.
   */
  receiveDeparture(departure: Upstream): void;
  /**
   * Handles an answer that says that its instance is about to stop. The call was sent at `sentAtMs` by the monotonic
   * clock to the instance `upstream`; a later one with the same id may have answered it.
   */
  receiveLeaving(upstream: Upstream, sentAtMs: number): void;
  /** The current instance; undefined before the first heartbeat. */
  get(): Upstream | undefined;
  /** The last departure of each id that the upstream on this host has had. */
  listDepartures(): readonly Upstream[];
  close(): void;
}

export interface UpstreamTrackerOptions {
  /** Service of an instance that is known only by its end. */
  readonly service: string;
  /** Time between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  readonly clock: Clock;
  /** Unix milliseconds. */
  readonly wallClock: Clock;
  readonly log: Log;
  /** Called with each accepted change; with undefined when the upstream falls silent. */
  readonly observe: (upstream: Upstream | undefined) => void;
  /** Called with each departure that was not known. */
  readonly observeDeparture: (departure: Upstream) => void;
}

/** Heartbeat intervals without a heartbeat after which the upstream is suspected to have failed. */
const MAX_MISSED_HEARTBEATS = 4;
const SILENCE_CHECK_TICKS = 1;

export function createUpstreamTracker(options: UpstreamTrackerOptions): UpstreamTracker {
  const { clock, wallClock, log, observe } = options;
  let current: Upstream | undefined;
  const departures = createDepartures();
  let lastHeartbeatAtMs = clock();
  let isSilent = false;
  const stopTicks = scheduleTicks(SILENCE_CHECK_TICKS, checkSilence);
  return {
    receive,
    receiveEnd,
    receiveDeparture,
    receiveLeaving,
    get: () => current,
    listDepartures: () => departures.list(),
    close: () => stopTicks(),
  };

  function receive(heartbeat: Heartbeat): boolean {
    const departure = departures.get(heartbeat.id);
    if (isOutdated(heartbeat, departure)) {
      const { id, sequence, state } = heartbeat;
      log.info('heartbeat-outdated', { upstream: id, sequence, state, known: current?.id });
      return false;
    }
    lastHeartbeatAtMs = clock();
    isSilent = false;
    // Such a heartbeat may have been sent before the instance began to leave.
    const isLeaving = departure?.state === 'leaving' && isCovered(heartbeat, departure);
    const upstream: Upstream = isLeaving ? { ...heartbeat, state: 'leaving' } : heartbeat;
    if (upstream.state !== 'ready') recordDeparture(upstream);
    setCurrent(upstream);
    return true;
  }

  function isOutdated(heartbeat: Heartbeat, departure: Upstream | undefined): boolean {
    if (departure !== undefined && isBefore(heartbeat, departure)) return true;
    return current !== undefined && !isNewer(heartbeat, current);
  }

  function receiveLeaving(upstream: Upstream, sentAtMs: number): void {
    const sentAtWallMs = wallClock() - (clock() - sentAtMs);
    const startedAtMs = Math.max(upstream.startedAtMs, Math.floor(sentAtWallMs));
    applyDeparture({ ...upstream, state: 'leaving', startedAtMs });
  }

  /**
   * An end that names no start speaks of all instances with its id until now. It counts also if nothing was heard of
   * its instance: this daemon, or the instance, may have started after the last heartbeat.
   */
  function receiveEnd(id: string, startedAtMs: number | undefined): boolean {
    const known: Upstream =
      current?.id === id ? current : { ...buildUnknown(id), ...departures.get(id) };
    const latestStartMs = Math.max(Math.floor(wallClock()), known.startedAtMs);
    const isCurrent = current?.id === id && current.startedAtMs <= (startedAtMs ?? latestStartMs);
    applyDeparture({ ...known, state: 'gone', startedAtMs: startedAtMs ?? latestStartMs });
    return isCurrent;
  }

  function buildUnknown(id: string): Upstream {
    const { service } = options;
    return { id, service, capacity: 0, state: 'gone', startedAtMs: 0, sequence: 0 };
  }

  function receiveDeparture(departure: Upstream): void {
    if (!applyDeparture(departure)) return;
    const { id, sequence, state } = departure;
    log.info('departure-restored', { upstream: id, sequence, state });
  }

  /** Records a departure and applies it to the current instance; false if it was known. */
  function applyDeparture(departure: Upstream): boolean {
    const isNew = recordDeparture(departure);
    const next = computeAfterDeparture(departure, current);
    if (next === undefined) return isNew;
    lastHeartbeatAtMs = clock();
    setCurrent(next);
    return isNew;
  }

  function recordDeparture(departure: Upstream): boolean {
    const isNew = departures.record(departure);
    if (isNew) options.observeDeparture(departure);
    return isNew;
  }

  function setCurrent(next: Upstream): void {
    current = next;
    observe(next);
  }

  function checkSilence(): void {
    if (isSilent || current === undefined || current.state === 'gone') return;
    const silentMs = clock() - lastHeartbeatAtMs;
    if (silentMs < options.heartbeatMs * MAX_MISSED_HEARTBEATS) return;
    isSilent = true;
    log.warn('upstream-silent', { upstream: current.id, silentMs: Math.round(silentMs) });
    observe(undefined);
  }
}

/**
 * Computes the current instance after a departure; undefined if it remains as it is. A drain is told in a heartbeat,
 * so it also shows that an instance has started; an end or a leave speaks of its own id alone.
 */
function computeAfterDeparture(
  departure: Upstream,
  current: Upstream | undefined,
): Upstream | undefined {
  if (current === undefined) return departure;
  if (departure.state === 'draining') return isNewer(departure, current) ? departure : undefined;
  if (!isCovered(current, departure) || !isMoreFinal(departure, current)) return undefined;
  return { ...current, state: departure.state };
}

/** Whether a departure speaks of the instance. */
function isCovered(instance: Upstream, departure: Upstream): boolean {
  return instance.id === departure.id && instance.startedAtMs <= departure.startedAtMs;
}

/** Whether a heartbeat was sent before a departure of its id, or by an instance that has ended. */
function isBefore(heartbeat: Heartbeat, departure: Upstream): boolean {
  if (departure.state === 'leaving') return false;
  if (departure.state === 'draining' && heartbeat.startedAtMs === departure.startedAtMs)
    return heartbeat.sequence <= departure.sequence;
  return heartbeat.startedAtMs <= departure.startedAtMs;
}

/**
 * Whether a heartbeat is newer than the known state: from a later instance, or later from the same
 * one. After an instance has gone, one with another id counts as later whatever its clock says.
 */
export function isNewer(heartbeat: Upstream, known: Upstream): boolean {
  if (isSameInstance(heartbeat, known))
    return known.state !== 'gone' && heartbeat.sequence > known.sequence;
  const isAfterEnd = known.state === 'gone' && heartbeat.id !== known.id;
  return heartbeat.startedAtMs > known.startedAtMs || isAfterEnd;
}

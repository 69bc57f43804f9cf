import { type Clock, type Log, scheduleTicks } from '@cactusdeal/shared';
import type { Heartbeat, Upstream } from './CactusdealRelayTypes.js';

/**
 * Tracks the current instance of the upstream on this host from its heartbeats, which may arrive in
 * any order.
 */
export interface UpstreamTracker {
  /** Handles a heartbeat; false if it is outdated or its instance has ended. */
  receive(heartbeat: Heartbeat): boolean;
  /**
   * Handles the end of an instance; `startedAtMs` is undefined if the upstream did not name it.
   * False if that instance is not the current one.
   */
  receiveEnd(id: string, startedAtMs: number | undefined): boolean;
  /**
   * Handles what another daemon knows of the upstream on this host: that an instance of it is
   * draining, leaving or gone, as this daemon was told before its restart.
   */
  receiveDeparture(upstream: Upstream): void;
  /** Handles an answer in which an instance said that it is about to stop. */
  receiveLeaving(upstream: Upstream): void;
  /** The current instance; undefined before the first heartbeat. */
  get(): Upstream | undefined;
  close(): void;
}

export interface UpstreamTrackerOptions {
  /** Time between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  readonly clock: Clock;
  /** Unix milliseconds. */
  readonly wallClock: Clock;
  readonly log: Log;
  /** Called with each accepted change; with undefined when the upstream falls silent. */
  readonly observe: (upstream: Upstream | undefined) => void;
}

/** Heartbeat intervals without a heartbeat after which the upstream is suspected to have failed. */
const MAX_MISSED_HEARTBEATS = 4;
const SILENCE_CHECK_TICKS = 1;
/** Number of ids whose ended instances are remembered. */
const MAX_ENDED_IDS = 64;

export function createUpstreamTracker(options: UpstreamTrackerOptions): UpstreamTracker {
  const { clock, wallClock, log, observe } = options;
  let current: Upstream | undefined;
  /** By id, the latest start of an ended instance, in Unix milliseconds. */
  const endedStarts = new Map<string, number>();
  let lastHeartbeatAtMs = clock();
  let isSilent = false;
  const stopTicks = scheduleTicks(SILENCE_CHECK_TICKS, checkSilence);
  return {
    receive,
    receiveEnd,
    receiveDeparture,
    receiveLeaving,
    get: () => current,
    close: () => stopTicks(),
  };

  function receive(heartbeat: Heartbeat): boolean {
    const isEnded = heartbeat.startedAtMs <= (endedStarts.get(heartbeat.id) ?? -1);
    if (isEnded || (current !== undefined && !isNewer(heartbeat, current))) {
      const { id, sequence, state } = heartbeat;
      log.info('heartbeat-outdated', { upstream: id, sequence, state, known: current?.id });
      return false;
    }
    lastHeartbeatAtMs = clock();
    isSilent = false;
    // Such a heartbeat may have been sent before the instance began to leave.
    const isLeaving = isSameInstance(heartbeat, current) && current?.state === 'leaving';
    setCurrent(isLeaving ? { ...heartbeat, state: 'leaving' } : heartbeat);
    return true;
  }

  function receiveLeaving(upstream: Upstream): void {
    if (current === undefined || !isSameInstance(upstream, current)) return;
    if (current.state === 'ready' || current.state === 'draining')
      setCurrent({ ...current, state: 'leaving' });
  }

  function receiveEnd(id: string, startedAtMs: number | undefined): boolean {
    recordEnd(id, startedAtMs ?? wallClock());
    if (current?.id !== id) return false;
    if (startedAtMs !== undefined && startedAtMs !== current.startedAtMs) return false;
    setCurrent({ ...current, state: 'gone' });
    return true;
  }

  function receiveDeparture(upstream: Upstream): void {
    const { id, startedAtMs, sequence, state } = upstream;
    if (state === 'gone') recordEnd(id, startedAtMs);
    if (current !== undefined && !isLater(upstream, current)) return;
    log.info('departure-restored', { upstream: id, sequence, state });
    lastHeartbeatAtMs = clock();
    setCurrent(upstream);
  }

  /**
   * Records the end also of an unknown instance: this daemon may have started after its last
   * heartbeat.
   */
  function recordEnd(id: string, startedAtMs: number): void {
    endedStarts.set(id, Math.max(startedAtMs, endedStarts.get(id) ?? 0));
    const [oldest] = endedStarts.keys();
    if (endedStarts.size > MAX_ENDED_IDS && oldest !== undefined) endedStarts.delete(oldest);
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
 * Whether a heartbeat is newer than the known state: from a later instance, or later from the same
 * one.
 */
export function isNewer(heartbeat: Upstream, known: Upstream): boolean {
  if (isSameInstance(heartbeat, known))
    return known.state !== 'gone' && heartbeat.sequence > known.sequence;
  return heartbeat.startedAtMs > known.startedAtMs || known.state === 'gone';
}

/** How final the state of an instance is; no heartbeat undoes a more final one. */
const FINALITY = { ready: 0, draining: 0, leaving: 1, gone: 2 } as const;

/** Whether `next` is a later state than `known`, however late the news of it arrives. */
export function isLater(next: Upstream, known: Upstream): boolean {
  const gained = FINALITY[next.state] - FINALITY[known.state];
  return isSameInstance(next, known) && gained !== 0 ? gained > 0 : isNewer(next, known);
}

function isSameInstance(left: Upstream, right: Upstream | undefined): boolean {
  return left.id === right?.id && left.startedAtMs === right.startedAtMs;
}

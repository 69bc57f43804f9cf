import type { Clock, Log } from '@cactusdeal/shared';
import type { Heartbeat, Upstream } from './CactusdealRelayTypes.js';

/** Follows the lives of the upstream beside this daemon from what reaches it, in any order. */
export interface UpstreamLife {
  /** Takes a heartbeat; false when it is of an ended life or older than what is known. */
  receive(heartbeat: Heartbeat): boolean;
  /** Takes the end of a life; `startedAtMs` is undefined when the upstream did not say it. */
  receiveEnd(id: string, startedAtMs: number | undefined): boolean;
  get(): Upstream | undefined;
  close(): void;
}

export interface UpstreamLifeOptions {
  /** Time between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  readonly clock: Clock;
  /** Unix milliseconds. */
  readonly wallClock: Clock;
  readonly log: Log;
  readonly observe: (upstream: Upstream | undefined) => void;
}

/** Heartbeats that may fail to come before the upstream is taken to be dead. */
const MISSED_HEARTBEATS = 4;
const CHECK_MS = 500;
const MAX_ENDED = 64;

export function createUpstreamLife(options: UpstreamLifeOptions): UpstreamLife {
  const { clock, wallClock, log, observe } = options;
  let current: Upstream | undefined;
  /** Latest start, in Unix milliseconds, of the lives that have ended under an id. */
  const endedStarts = new Map<string, number>();
  let heardAtMs = clock();
  let isSilent = false;
  const timer = setInterval(checkSilence, CHECK_MS);
  return {
    receive,
    receiveEnd,
    get: () => current,
    close: () => clearInterval(timer),
  };

  function receive(heartbeat: Heartbeat): boolean {
    const isEnded = heartbeat.startedAtMs <= (endedStarts.get(heartbeat.id) ?? -1);
    if (isEnded || (current !== undefined && !isNewer(heartbeat, current))) {
      const { id, sequence, state } = heartbeat;
      log.info('heartbeat-outdated', { upstream: id, sequence, state, known: current?.id });
      return false;
    }
    heardAtMs = clock();
    isSilent = false;
    settle(heartbeat);
    return true;
  }

  function receiveEnd(id: string, startedAtMs: number | undefined): boolean {
    recordEnd(id, startedAtMs ?? wallClock());
    if (current?.id !== id) return false;
    if (startedAtMs !== undefined && startedAtMs !== current.startedAtMs) return false;
    settle({ ...current, state: 'gone' });
    return true;
  }

  /** The end may be told to a daemon that has just started and knows no life yet. */
  function recordEnd(id: string, startedAtMs: number): void {
    endedStarts.set(id, Math.max(startedAtMs, endedStarts.get(id) ?? 0));
    const [oldest] = endedStarts.keys();
    if (endedStarts.size > MAX_ENDED && oldest !== undefined) endedStarts.delete(oldest);
  }

  function settle(next: Upstream): void {
    current = next;
    observe(next);
  }

  function checkSilence(): void {
    if (isSilent || current === undefined || current.state === 'gone') return;
    const silentMs = clock() - heardAtMs;
    if (silentMs < options.heartbeatMs * MISSED_HEARTBEATS) return;
    isSilent = true;
    log.warn('upstream-silent', { upstream: current.id, silentMs: Math.round(silentMs) });
    observe(undefined);
  }
}

/** Whether a heartbeat tells more than is known: of a later life, or later in the same one. */
export function isNewer(heartbeat: Upstream, known: Upstream): boolean {
  const isSameLife = heartbeat.id === known.id && heartbeat.startedAtMs === known.startedAtMs;
  if (isSameLife) return known.state !== 'gone' && heartbeat.sequence > known.sequence;
  return heartbeat.startedAtMs > known.startedAtMs || known.state === 'gone';
}

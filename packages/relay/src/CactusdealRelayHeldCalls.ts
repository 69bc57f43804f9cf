import { type Clock, createDeferredTasks, type Log } from '@cactusdeal/shared';
import { findField } from './CactusdealRelayHeaders.js';
import { createLinkDelay } from './CactusdealRelayLinkDelay.js';
import {
  type AttemptEnd,
  buildNotRun,
  type GateCall,
  type HeaderNames,
  NotRunReason,
} from './CactusdealRelayTypes.js';

/** Calls that have arrived over one link and are not served yet, because they may not be wanted. */
export interface HeldCalls {
  /**
   * Holds a call until all data that arrived with it is read. A call that is late is held until the
   * daemon that sent it has answered, behind all cancellations that it had sent.
   */
  hold(id: number, call: GateCall, sentAtMs: number | undefined): void;
  /** Discards a cancelled call; false if it is not held. */
  cancel(id: number): boolean;
  /** Handles a time that the other daemon has named in a message without a call. */
  receiveTime(sentAtMs: number | undefined): void;
  /** Handles the answer to what `confirm` has asked. */
  receiveConfirmation(sentAtMs: number): void;
  close(): void;
}

export interface HeldCallsOptions {
  readonly clock: Clock;
  readonly names: Pick<HeaderNames, 'callId'>;
  readonly log: Log;
  /** Serves a call, with what is left of its time. */
  readonly serve: (id: number, call: GateCall) => void;
  /** Ends a call that is not served. */
  readonly refuse: (id: number, end: AttemptEnd) => void;
  /** Asks the other daemon for its time. */
  readonly confirm: () => void;
}

/** A call with the time, by the other daemon's clock, to which its times refer; undefined if that names none. */
interface HeldCall {
  readonly call: GateCall;
  readonly sentAtMs: number | undefined;
}

/** Delay above which a call is confirmed, in milliseconds; its caller may have left meanwhile. */
const MAX_UNCONFIRMED_MS = 100;
/** Longest wait for a confirmation, in milliseconds. */
const CONFIRMATION_TIMEOUT_MS = 250;

/**
 * Creates the held calls of a link that has just opened.
 *
 * Load pattern: calls that lay on a link, or in a daemon that stood still, for longer than their callers
 * waited. The time that they lay is subtracted from what is left of theirs.
 */
export function createHeldCalls(options: HeldCallsOptions): HeldCalls {
  const { clock, log } = options;
  const delay = createLinkDelay(clock);
  const deferredTasks = createDeferredTasks();
  const held = new Map<number, HeldCall>();
  const unconfirmedIds = new Set<number>();
  let askedAtMs: number | undefined;
  let timer: NodeJS.Timeout | undefined;
  return {
    hold: (id, call, sentAtMs) => {
      receiveTime(sentAtMs);
      held.set(id, { call, sentAtMs });
      deferredTasks.schedule(() => serveOrConfirm(id));
    },
    cancel: (id) => {
      unconfirmedIds.delete(id);
      return held.delete(id);
    },
    receiveTime,
    receiveConfirmation: (sentAtMs) => {
      if (askedAtMs === undefined) return;
      delay.recordAnswer(sentAtMs, askedAtMs);
      finishConfirmation(serve);
    },
    close: () => {
      clearTimeout(timer);
      held.clear();
    },
  };

  function receiveTime(sentAtMs: number | undefined): void {
    if (sentAtMs !== undefined) delay.recordArrival(sentAtMs);
  }

  function computeDelayMs({ sentAtMs }: HeldCall): number {
    return sentAtMs === undefined ? 0 : delay.computeMs(sentAtMs);
  }

  function serveOrConfirm(id: number): void {
    const heldCall = held.get(id);
    if (heldCall === undefined) return;
    if (computeDelayMs(heldCall) <= MAX_UNCONFIRMED_MS) {
      serve(id);
      return;
    }
    unconfirmedIds.add(id);
    if (askedAtMs !== undefined) return;
    askedAtMs = clock();
    timer = setTimeout(() => finishConfirmation(refuseUnconfirmed), CONFIRMATION_TIMEOUT_MS);
    options.confirm();
  }

  function finishConfirmation(handle: (id: number) => void): void {
    clearTimeout(timer);
    askedAtMs = undefined;
    const ids = [...unconfirmedIds];
    unconfirmedIds.clear();
    ids.forEach(handle);
  }

  function serve(id: number): void {
    const heldCall = held.get(id);
    if (heldCall === undefined) return;
    held.delete(id);
    const { call } = heldCall;
    const delayMs = computeDelayMs(heldCall);
    if (delayMs > MAX_UNCONFIRMED_MS) logLate(call, delayMs);
    const remainingMs = call.remainingMs - delayMs;
    if (remainingMs <= 0) options.refuse(id, buildNotRun(NotRunReason.Expired));
    else options.serve(id, { ...call, remainingMs, targetMs: call.targetMs - delayMs });
  }

  function refuseUnconfirmed(id: number): void {
    const heldCall = held.get(id);
    if (heldCall === undefined) return;
    held.delete(id);
    logLate(heldCall.call, computeDelayMs(heldCall));
    options.refuse(id, buildNotRun(NotRunReason.Unconfirmed));
  }

  function logLate({ headers, remainingMs }: GateCall, delayMs: number): void {
    log.info('call-late', {
      call: findField(headers, options.names.callId),
      linkMs: Math.round(delayMs),
      remainingMs: Math.round(remainingMs - delayMs),
    });
  }
}

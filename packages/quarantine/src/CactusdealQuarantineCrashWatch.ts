import { type Clock, type Log, waitMs } from '@cactusdeal/shared';
import { createExitWatch } from './CactusdealQuarantineExitWatch.js';

/** A call whose connection to the upstream ended without a complete answer. */
export interface InterruptedCall {
  /** `IP:PORT` of the upstream. */
  readonly address: string;
  readonly fingerprint: string;
  /** Calls that the upstream was running, with this one. */
  readonly inFlight: number;
}

/** A call that was cancelled after it was sent; the upstream may go on running it. */
export interface CancelledCall extends Pick<InterruptedCall, 'address' | 'fingerprint'> {
  /** When the upstream stops running it at the latest, on the watch's clock. */
  readonly untilMs: number;
}

/** Attributes the end of an upstream's process to the calls that it interrupted. */
export interface CrashWatch {
  /**
   * Records the call if the upstream's process has ended or ends soon. Resolves once it is recorded,
   * or earlier if the process may go on.
   */
  receiveInterrupted(call: InterruptedCall): Promise<void>;
  /** Remembers the call; an end of the process until `untilMs` has interrupted it, too. */
  receiveCancelled(call: CancelledCall): void;
  /** Records the cancelled calls if the upstream, which accepts no connection, has ended. */
  receiveUnreachable(address: string): void;
  /** Ends all watches; no further call is recorded. */
  close(): void;
}

export interface CrashWatchOptions {
  /** Called with each fingerprint that a crash interrupted, and the number of calls that it interrupted. */
  readonly recordCrash: (fingerprint: string, inFlight: number) => void;
  readonly clock: Clock;
  readonly log: Log;
}

/** The calls that the same end of a process may have interrupted. */
interface Interruption {
  readonly fingerprints: Set<string>;
  /** Calls among them that were cancelled before. */
  readonly cancelled: number;
  inFlight: number;
  /** Resolves when it is known that the process has ended, or that it still listens. */
  readonly firstVerdict: Promise<void>;
}

/** Longest wait for the first verdict, when a new connection is neither accepted nor refused. */
const FIRST_VERDICT_MS = 50;
/** Most cancelled calls that are remembered for each upstream. */
const MAX_CANCELLED = 1_000;
/** Number of fingerprints that a log line names. */
const MAX_LOGGED = 16;

export function createCrashWatch({ recordCrash, clock, log }: CrashWatchOptions): CrashWatch {
  const exitWatch = createExitWatch();
  const interruptions = new Map<string, Interruption>();
  /** For each upstream, the cancelled calls that it may still run, with the time of each one's end. */
  const cancelledCalls = new Map<string, Map<string, number>>();
  return {
    receiveInterrupted: ({ address, fingerprint, inFlight }) => {
      const interruption = interruptions.get(address) ?? startInterruption(address);
      interruption.fingerprints.add(fingerprint);
      interruption.inFlight = Math.max(interruption.inFlight, inFlight + interruption.cancelled);
      return interruption.firstVerdict;
    },
    receiveCancelled: ({ address, fingerprint, untilMs }) => {
      interruptions.get(address)?.fingerprints.add(fingerprint);
      addCancelled(address, fingerprint, untilMs);
    },
    receiveUnreachable: (address) => {
      if (!interruptions.has(address) && listCancelled(address).length > 0)
        startInterruption(address);
    },
    close: () => exitWatch.close(),
  };

  function addCancelled(address: string, fingerprint: string, untilMs: number): void {
    const calls = cancelledCalls.get(address) ?? new Map<string, number>();
    cancelledCalls.set(address, calls);
    calls.delete(fingerprint);
    calls.set(fingerprint, untilMs);
    const [oldest] = calls.keys();
    if (calls.size > MAX_CANCELLED && oldest !== undefined) calls.delete(oldest);
  }

  function listCancelled(address: string): readonly string[] {
    const nowMs = clock();
    const calls = cancelledCalls.get(address);
    calls?.forEach((untilMs, fingerprint) => {
      if (untilMs < nowMs) calls.delete(fingerprint);
    });
    return [...(calls?.keys() ?? [])];
  }

  function startInterruption(address: string): Interruption {
    const { isListening, hasExited } = exitWatch.watch(address);
    const recorded = hasExited.then((isExit) => {
      interruptions.delete(address);
      if (!isExit) return;
      cancelledCalls.delete(address);
      recordExit(address, interruption);
    });
    const verdict = isListening.then((isUp) => (isUp ? undefined : recorded));
    const cancelled = listCancelled(address);
    const interruption: Interruption = {
      fingerprints: new Set(cancelled),
      cancelled: cancelled.length,
      inFlight: cancelled.length,
      firstVerdict: Promise.race([verdict, waitMs(FIRST_VERDICT_MS)]),
    };
    interruptions.set(address, interruption);
    return interruption;
  }

  function recordExit(address: string, { fingerprints, inFlight }: Interruption): void {
    const logged = [...fingerprints].slice(0, MAX_LOGGED).join(' ');
    log.warn('upstream-crashed', { address, inFlight, fingerprints: logged });
    fingerprints.forEach((fingerprint) => recordCrash(fingerprint, inFlight));
  }
}

import { type Log, waitMs } from '@cactusdeal/shared';
import { createExitWatch } from './CactusdealQuarantineExitWatch.js';

/** A call whose connection to the upstream ended without a complete answer. */
export interface InterruptedCall {
  /** `IP:PORT` of the upstream. */
  readonly address: string;
  readonly fingerprint: string;
  /** Calls that the upstream was running, with this one. */
  readonly inFlight: number;
}

/** Attributes the end of an upstream's process to the calls that it interrupted. */
export interface CrashWatch {
  /**
   * Records the call if the upstream's process has ended or ends soon. Resolves once it is recorded,
   * or earlier if the process may go on.
   */
  receiveInterrupted(call: InterruptedCall): Promise<void>;
  /** Ends all watches; no further call is recorded. */
  close(): void;
}

export interface CrashWatchOptions {
  /** Called with each fingerprint that a crash interrupted, and the number of calls that it interrupted. */
  readonly recordCrash: (fingerprint: string, inFlight: number) => void;
  readonly log: Log;
}

/** The calls that the same end of a process may have interrupted. */
interface Interruption {
  readonly fingerprints: Set<string>;
  inFlight: number;
  /** Resolves when it is known that the process has ended, or that it still listens. */
  readonly firstVerdict: Promise<void>;
}

/** Longest wait for the first verdict, when a new connection is neither accepted nor refused. */
const FIRST_VERDICT_MS = 50;
/** Number of fingerprints that a log line names. */
const MAX_LOGGED = 16;

export function createCrashWatch({ recordCrash, log }: CrashWatchOptions): CrashWatch {
  const exitWatch = createExitWatch();
  const interruptions = new Map<string, Interruption>();
  return {
    receiveInterrupted: ({ address, fingerprint, inFlight }) => {
      const interruption = interruptions.get(address) ?? startInterruption(address);
      interruption.fingerprints.add(fingerprint);
      interruption.inFlight = Math.max(interruption.inFlight, inFlight);
      return interruption.firstVerdict;
    },
    close: () => exitWatch.close(),
  };

  function startInterruption(address: string): Interruption {
    const { isListening, hasExited } = exitWatch.watch(address);
    const recorded = hasExited.then((isExit) => {
      interruptions.delete(address);
      if (isExit) recordExit(address, interruption);
    });
    const verdict = isListening.then((isUp) => (isUp ? undefined : recorded));
    const interruption: Interruption = {
      fingerprints: new Set(),
      inFlight: 0,
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

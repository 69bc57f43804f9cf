import { type CrashNotice, createQuarantine, type Quarantine } from '@cactusdeal/quarantine';
import type { Clock, Log } from '@cactusdeal/shared';

/**
 * Shares a quarantine with all daemons over the links. Counts go to linked daemons only; those of a
 * request that is quarantined are passed on by each daemon that learns them, so that they reach all
 * daemons of all data centres, and are told to each daemon that opens a link.
 */
export interface CrashExchange {
  readonly quarantine: Quarantine;
  /** Handles the notices that another daemon sent. */
  receive(notices: readonly CrashNotice[]): void;
}

export interface CrashExchangeOptions {
  /** Id of this daemon; another one after each start. */
  readonly source: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Sends notices over all links. */
  readonly send: (notices: readonly CrashNotice[]) => void;
}

export function createCrashExchange(options: CrashExchangeOptions): CrashExchange {
  const { source, clock, log, send } = options;
  const quarantine = createQuarantine({ source, clock, publish: schedule });
  let pending: CrashNotice[] = [];
  return { quarantine, receive };

  function receive(notices: readonly CrashNotice[]): void {
    notices.forEach((notice) => {
      if (!quarantine.mergeNotice(notice)) return;
      log.info('crash-reported', { ...notice });
      if (quarantine.getRemainingMs(notice.fingerprint) > 0) schedule(notice);
    });
  }

  /** Collects the notices of one crash or message, to send them together. */
  function schedule(notice: CrashNotice): void {
    if (pending.length === 0) queueMicrotask(flush);
    pending.push(notice);
  }

  function flush(): void {
    const scheduled = pending;
    pending = [];
    const fingerprints = new Set(scheduled.map(({ fingerprint }) => fingerprint));
    const notices = [...fingerprints].flatMap((fingerprint) => {
      const known = quarantine.listNotices(fingerprint);
      if (known.length === 0) return scheduled.filter((each) => each.fingerprint === fingerprint);
      const remainingMs = Math.round(quarantine.getRemainingMs(fingerprint));
      log.warn('call-quarantined', { fingerprint, remainingMs });
      return known;
    });
    send(notices);
  }
}

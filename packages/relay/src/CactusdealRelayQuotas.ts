import { type Clock, type Log, type Random } from '@cactusdeal/shared';
import type { Members } from './CactusdealRelayMembers.js';
import {
  createQuotaExchange,
  QUOTA_TICK_MS,
  type QuotaStatus,
  type ReceiveQuota,
} from './CactusdealRelayQuotaExchange.js';
import type { QuotaDecision } from './CactusdealRelayQuotaLimiter.js';
import type { Member, OrganisationRule, RelayConfiguration } from './CactusdealRelayTypes.js';

/** Limits the calls of organisations to their quotas over all daemons. */
export interface QuotaLimiter {
  /** Decides on a call of the organisation; counts it. */
  admit(organisation: OrganisationRule): QuotaDecision;
  /** Gives back an admitted call that ended as not run. */
  release(name: string): void;
  close(): void;
}

/** The quotas of a daemon, with its side of the exchange. */
export interface Quotas extends QuotaLimiter {
  /** Applies the organisations of a configuration; nothing is sent while none of them has a quota. */
  setConfiguration(configuration: Pick<RelayConfiguration, 'organisations'>): void;
  /** Ends the isolation soon where it can end; called when a link to another daemon opens. */
  observeLink(): void;
  hasRules(): boolean;
  readonly receive: ReceiveQuota;
  /** Undefined while no organisation has a quota. */
  getStatus(): QuotaStatus | undefined;
}

export interface QuotasOptions {
  readonly self: Member;
  readonly members: Pick<Members, 'list' | 'countKnown'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/** Least time between two early runs; a surge is reported in its first calls and then in batches. */
const EARLY_RUN_MS = 25;

/** Runs the timers of the exchange while an organisation of the configuration has a quota. */
export function createQuotas({ self, members, clock, random, log }: QuotasOptions): Quotas {
  let rules: readonly OrganisationRule[] = [];
  let ticks: NodeJS.Timeout | undefined;
  let earlyRun: NodeJS.Timeout | undefined;
  const exchange = createQuotaExchange({
    self,
    clock,
    random,
    log,
    listPeers: () => members.list(),
    countHosts: () => members.countKnown() + 1,
    getRules: () => rules,
    wake: scheduleEarlyRun,
  });
  return {
    admit: (organisation) => exchange.admit(organisation),
    release: (name) => exchange.release(name),
    setConfiguration: ({ organisations }) => {
      rules = organisations?.filter(({ callsPerSecond }) => callsPerSecond > 0) ?? [];
      if (rules.length === 0) close();
      else {
        ticks ??= setInterval(() => exchange.tick(), QUOTA_TICK_MS);
        scheduleEarlyRun();
      }
    },
    observeLink: () => {
      if (rules.length > 0 && exchange.getStatus().isIsolated) scheduleEarlyRun();
    },
    hasRules: () => rules.length > 0,
    receive: (from, message, reply) => exchange.receive(from, message, reply),
    getStatus: () => (rules.length > 0 ? exchange.getStatus() : undefined),
    close,
  };

  function scheduleEarlyRun(): void {
    earlyRun ??= setTimeout(() => {
      earlyRun = undefined;
      exchange.runEarly();
    }, EARLY_RUN_MS);
  }

  function close(): void {
    clearInterval(ticks);
    clearTimeout(earlyRun);
    ticks = undefined;
    earlyRun = undefined;
  }
}

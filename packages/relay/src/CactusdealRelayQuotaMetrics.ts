import { Counter, Gauge, type Registry } from 'prom-client';
import type { QuotaStatus } from './CactusdealRelayQuotaExchange.js';

/** Metrics of the quotas; organisations appear only while or after they are throttled. */
export interface QuotaMetrics {
  /** Counts a call that was refused because its organisation's quota is used up. */
  recordRefusal(organisation: string): void;
}

export function addQuotaMetrics(
  registry: Registry,
  getStatus: () => QuotaStatus | undefined,
): QuotaMetrics {
  const registers = [registry];
  const refusals = new Counter({
    name: 'cactusdeal_quota_refused_calls_total',
    help: 'Calls refused because the quota of their organisation was used up',
    labelNames: ['organisation'],
    registers,
  });
  addThrottleGauge(
    'cactusdeal_quota_fraction',
    'Fraction of the calls of a throttled organisation that the entry admits',
    ({ fraction }) => fraction,
  );
  addThrottleGauge(
    'cactusdeal_quota_level',
    'Calls left in the bucket of a throttled organisation, negative beyond its quota',
    ({ level }) => level,
  );
  addGauge(
    'cactusdeal_quota_coordinator',
    'Whether this daemon coordinates the quotas of its data centre, 1 or 0',
    ({ isCoordinator }) => isCoordinator,
  );
  addGauge(
    'cactusdeal_quota_isolated',
    'Whether no coordinator of quotas is heard, 1 or 0',
    ({ isIsolated }) => isIsolated,
  );
  return { recordRefusal: (organisation) => refusals.inc({ organisation }) };

  function addThrottleGauge(
    name: string,
    help: string,
    getValue: (throttle: QuotaStatus['throttles'][number]) => number,
  ): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: ['organisation'],
      registers,
      collect: () => {
        gauge.reset();
        getStatus()?.throttles.forEach((throttle) =>
          gauge.set({ organisation: throttle.name }, getValue(throttle)),
        );
      },
    });
  }

  function addGauge(name: string, help: string, getValue: (status: QuotaStatus) => boolean): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers,
      collect: () => {
        const status = getStatus();
        gauge.set(Number(status !== undefined && getValue(status)));
      },
    });
  }
}

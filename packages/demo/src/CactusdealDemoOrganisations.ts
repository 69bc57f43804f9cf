import type { Effect, Rank, Route, Service } from '@cactusdeal/schema';
import type { DemoCall, DemoOrganisation, DemoService } from './CactusdealDemoOrganisationTypes.js';

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;
const QUEUE_LIMIT = 100;

const HOKKAIDO: DemoOrganisation = {
  name: 'hokkaido',
  dataCentres: ['sapporo', 'otaru', 'ebetsu'],
  delayMs: 4.5,
  slotsPerWorker: 18,
  services: [
    buildService('catalogue', 'assessors', 4, 15),
    buildService('registration', 'researchers', 3, 40),
    buildService('evidence', 'researchers', 3, 300),
    buildService('panels', 'panels', 3, 25),
  ],
  calls: [
    buildCall('consultation', 'catalogue', 'GET', '/catalogue/cases', 'high', {
      ...{ callsPerSecond: 40, deadlineMs: 2000, share: 0.5, worth: 20 },
      answerBytes: 8 * KIBIBYTE,
    }),
    buildCall('browsing', 'catalogue', 'GET', '/catalogue', 'low', {
      ...{ callsPerSecond: 20, deadlineMs: 5000, share: 0.1, worth: 1 },
      answerBytes: 4 * KIBIBYTE,
    }),
    buildCall('registration', 'registration', 'POST', '/registrations', 'critical', {
      ...{ callsPerSecond: 8, deadlineMs: 5000, share: 0.6, worth: 100 },
      ...{ effect: 'atMostOnce', bodyBytes: 2 * KIBIBYTE },
    }),
    buildCall('submission', 'evidence', 'PUT', '/evidence/files', 'critical', {
      ...{ callsPerSecond: 10, deadlineMs: 10_000, share: 0.5, worth: 80 },
      ...{ bodyBytes: 16 * KIBIBYTE, maxBodyBytes: 64 * MEBIBYTE },
    }),
    buildCall('evidence-reading', 'evidence', 'GET', '/evidence', 'high', {
      ...{ callsPerSecond: 10, deadlineMs: 3000, share: 0.3, worth: 20 },
      answerBytes: 16 * KIBIBYTE,
    }),
    buildCall('endorsement', 'panels', 'POST', '/panels/endorsements', 'critical', {
      ...{ callsPerSecond: 8, deadlineMs: 5000, share: 0.5, worth: 100 },
      ...{ effect: 'atMostOnce', bodyBytes: KIBIBYTE },
    }),
    buildCall('panel-reading', 'panels', 'GET', '/panels', 'high', {
      ...{ callsPerSecond: 20, deadlineMs: 2000, share: 0.3, worth: 10 },
      answerBytes: 4 * KIBIBYTE,
    }),
  ],
  flood: { call: 'submission', capacityMultiple: 3 },
  reconfiguredService: 'catalogue',
};

const OVIEDO: DemoOrganisation = {
  name: 'oviedo',
  dataCentres: ['centro', 'este', 'oeste', 'sur'],
  delayMs: 3,
  slotsPerWorker: 12,
  services: [
    buildService('records', 'foremen', 4, 15),
    buildService('paint-orders', 'supervisors', 4, 30),
    buildService('photographs', 'painters', 4, 400),
    buildService('complaints', 'clerks', 4, 40),
  ],
  calls: [
    buildCall('lantern-record', 'records', 'GET', '/records', 'normal', {
      ...{ callsPerSecond: 30, deadlineMs: 2000, share: 0.5, worth: 5 },
      answerBytes: 4 * KIBIBYTE,
    }),
    buildCall('schedule-browsing', 'records', 'GET', '/schedules', 'low', {
      ...{ callsPerSecond: 30, deadlineMs: 5000, share: 0.2, worth: 1 },
      answerBytes: 4 * KIBIBYTE,
    }),
    buildCall('approval', 'paint-orders', 'POST', '/paint-orders/approvals', 'critical', {
      ...{ callsPerSecond: 10, deadlineMs: 3000, share: 0.5, worth: 100 },
      ...{ effect: 'atMostOnce', bodyBytes: KIBIBYTE },
    }),
    buildCall('sign-off', 'paint-orders', 'POST', '/paint-orders/sign-offs', 'critical', {
      ...{ callsPerSecond: 5, deadlineMs: 3000, share: 0.3, worth: 80 },
      ...{ effect: 'atMostOnce', bodyBytes: KIBIBYTE },
    }),
    buildCall('photograph', 'photographs', 'PUT', '/photographs/files', 'low', {
      ...{ callsPerSecond: 15, deadlineMs: 10_000, share: 0.3, worth: 2 },
      ...{ bodyBytes: 16 * KIBIBYTE, maxBodyBytes: 32 * MEBIBYTE },
    }),
    buildCall('photograph-viewing', 'photographs', 'GET', '/photographs', 'normal', {
      ...{ callsPerSecond: 10, deadlineMs: 3000, share: 0.4, worth: 5 },
      answerBytes: 16 * KIBIBYTE,
    }),
    buildCall('complaint', 'complaints', 'POST', '/complaints', 'normal', {
      ...{ callsPerSecond: 10, deadlineMs: 5000, share: 0.5, worth: 10 },
      ...{ effect: 'atMostOnce', bodyBytes: 2 * KIBIBYTE },
    }),
  ],
  flood: { call: 'photograph', capacityMultiple: 3 },
  reconfiguredService: 'records',
};

/** The organisations that the demo can run, by name. */
export const DEMO_ORGANISATIONS: Readonly<Record<string, DemoOrganisation>> = {
  hokkaido: HOKKAIDO,
  oviedo: OVIEDO,
};

function buildService(
  name: string,
  tenant: string,
  workers: number,
  serviceMs: number,
): DemoService {
  const definition: Service = { tenant, weights: {}, queueLimit: QUEUE_LIMIT };
  return { name, workers, serviceMs, definition };
}

interface CallOptions {
  readonly callsPerSecond: number;
  readonly deadlineMs: number;
  readonly share: number;
  readonly worth: number;
  readonly effect?: Effect;
  readonly bodyBytes?: number;
  readonly answerBytes?: number;
  readonly maxBodyBytes?: number;
}

function buildCall(
  name: string,
  service: string,
  method: Route['method'],
  pathPrefix: string,
  rank: Rank,
  options: CallOptions,
): DemoCall {
  const { callsPerSecond, deadlineMs, share, worth } = options;
  const { bodyBytes = 0, answerBytes = 0, maxBodyBytes = MEBIBYTE } = options;
  const effect = options.effect ?? 'idempotent';
  const route: Route = {
    ...{ service, method, pathPrefix, rank, class: name },
    ...{ deadlineMs, effect, share, worth, maxBodyBytes },
  };
  return { name, route, callsPerSecond, bodyBytes, answerBytes };
}

import { createMessageReader, type Message } from '../CactusdealRelayFrames.js';
import type { GateView } from '../CactusdealRelayBalancer.js';
import type {
  CrashNoticeExchange,
  GateCall,
  OrganisationRule,
  RelayConfiguration,
  RouteRule,
  Upstream,
} from '../CactusdealRelayTypes.js';

/** An exchange without crashes. */
export const NO_CRASHES: CrashNoticeExchange = {
  listCrashNotices: () => [],
  receiveCrashNotices: () => {},
};

export function buildRule(changes: Partial<RouteRule> = {}): RouteRule {
  return {
    name: 'rule',
    host: 'a.example',
    prefix: '/',
    idempotent: true,
    hasLargeAnswers: false,
    hasLargeBodies: false,
    isPublic: false,
    timeoutMs: 1_000,
    targetMs: 500,
    priority: 1,
    maxAttempts: 2,
    destinations: [{ service: 'records', weight: 1 }],
    ...changes,
  };
}

export function buildConfiguration(routes: readonly RouteRule[], version = 1): RelayConfiguration {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  return {
    version,
    routes,
    services: new Set(['records']),
    limits,
    organisations: undefined,
    warnings: [],
    source: String(version),
  };
}

export function buildOrganisation(changes: Partial<OrganisationRule> = {}): OrganisationRule {
  return { name: 'north', keys: ['key'], priority: 1, callsPerSecond: 10, burst: 10, ...changes };
}

export function buildUpstream(changes: Partial<Upstream> = {}): Upstream {
  return {
    id: 'u1',
    service: 'records',
    capacity: 2,
    state: 'ready',
    startedAtMs: 1_000,
    sequence: 1,
    ...changes,
  };
}

export function buildCall(changes: Partial<GateCall> = {}): GateCall {
  return {
    service: 'records',
    method: 'GET',
    path: '/',
    headers: [],
    body: undefined,
    remainingMs: 1_000,
    targetMs: 500,
    priority: 1,
    kind: 'kind',
    idempotent: true,
    isNested: false,
    ...changes,
  };
}

interface GateChanges extends Partial<Omit<GateView, 'report'>> {
  readonly report?: Partial<GateView['report']>;
}

export function buildGateView(changes: GateChanges = {}): GateView {
  return {
    memberId: 'd1',
    isOwn: false,
    reportedAtMs: 0,
    unreportedCalls: 0,
    avoidedUntilMs: 0,
    refusal: undefined,
    serviceMs: changes.report?.serviceMs ?? 100,
    isWarmingUp: false,
    overheadMs: 0,
    ...changes,
    report: {
      service: 'records',
      open: true,
      capacity: 10,
      load: 0,
      serviceMs: 100,
      failureRate: 0,
      ...changes.report,
    },
  };
}

/** Decodes the one message of a frame. */
export function decodeFrame(frame: Buffer): Message {
  const messages: Message[] = [];
  createMessageReader((message) => messages.push(message)).read(frame);
  return messages[0] as Message;
}

import { type CrashNotice, parseCrashNotice } from '@cactusdeal/quarantine';
import { type Message, MessageKind } from './CactusdealRelayFrames.js';
import type { GateLoad } from './CactusdealRelayKnownGate.js';
import { parseMember } from './CactusdealRelayMemberRecord.js';
import { NO_ERA, parseEra } from './CactusdealRelayStoreEra.js';
import type {
  AttemptEnd,
  GateCall,
  GateReport,
  Member,
  NamedLimit,
  Upstream,
} from './CactusdealRelayTypes.js';
import type { VersionUpdate } from './CactusdealRelayVersionHistory.js';

/** Status of a daemon, sent when a link opens and periodically. */
export interface Status {
  /** Configuration version in force; 0 if there is none. */
  readonly version: number;
  /**
   * Time since its last successful read from the platform, in milliseconds; negative if there was
   * none or reading fails.
   */
  readonly platformAgeMs: number;
  /** Highest era of the store that it knows; absent from a daemon that does not name it. */
  readonly storeEra?: number;
}

/** The first message of a daemon on a link. */
export interface Hello {
  readonly member: Member;
  readonly status: Status;
  /** Time of sending by its clock; undefined from a daemon that does not name it. */
  readonly sentAtMs: number | undefined;
  /** Whether the daemon takes the bodies of calls in pieces; one of an earlier version does not. */
  readonly takesCallPieces: boolean;
  /** Whether the daemon has to be offered large bodies of calls, and grants what may be sent of them. */
  readonly grantsBodies: boolean;
}

/** A large body of a call that a daemon wants to send. */
export interface CallOffer {
  readonly id: number;
  readonly bytes: number;
  /** Time within which the answer to the call is wanted, in milliseconds. */
  readonly targetMs: number;
  readonly kind: string;
}

const NO_BODY = null;
const NO_LIMIT = null;
const NO_TIME = null;
const NO_ORGANISATION = null;
const NO_VERSION = null;
/** Field of a hello by which a daemon says that it takes the bodies of calls in pieces. */
const TAKES_CALL_PIECES = true;
/** Further field by which it says that it has to be offered large bodies. */
const GRANTS_BODIES = true;

/** Encodes a call as fields of a message, with the time to which its own times refer, by this daemon's clock. */
export function toCallMessage(id: number, call: GateCall, sentAtMs: number): Message {
  return [
    MessageKind.Call,
    id,
    call.service,
    call.method,
    call.path,
    call.headers,
    call.body ?? NO_BODY,
    Math.round(call.remainingMs),
    Math.round(call.targetMs),
    call.priority,
    call.kind,
    call.idempotent,
    call.isNested,
    Math.round(sentAtMs),
    call.organisation ?? NO_ORGANISATION,
  ];
}

/** The time to which the times in a call's message refer; undefined from a daemon that does not name it. */
export function parseCallTime(message: Message): number | undefined {
  return parseTime(message[13]);
}

/** Encodes this daemon's time, the answer to a ping of the daemon that serves its calls. */
export function toPongMessage(sentAtMs: number): Message {
  return [MessageKind.Pong, Math.round(sentAtMs)];
}

/** The time of sending in a pong; undefined from a daemon that does not name it. */
export function parsePongTime(message: Message): number | undefined {
  return parseTime(message[1]);
}

function parseTime(field: unknown): number | undefined {
  return Number.isFinite(field) ? (field as number) : undefined;
}

/** A text field; undefined from a daemon that does not send it. */
function parseText(field: unknown): string | undefined {
  return typeof field === 'string' ? field : undefined;
}

/** Decodes a call from the fields of its message. */
export function parseCall(message: Message): GateCall {
  const body = message[6] as Uint8Array | null;
  return {
    service: message[2] as string,
    method: message[3] as string,
    path: message[4] as string,
    headers: message[5] as string[],
    body: body ?? undefined,
    remainingMs: message[7] as number,
    targetMs: message[8] as number,
    priority: message[9] as number,
    kind: message[10] as string,
    idempotent: message[11] as boolean,
    isNested: message[12] as boolean,
    organisation: parseText(message[14]),
  };
}

/** The fields of a piece of a large body; the call or its end follows without the body. */
export function parsePiece(message: Message): { readonly id: number; readonly bytes: Uint8Array } {
  return { id: message[1] as number, bytes: message[2] as Uint8Array };
}

/** Encodes that a daemon wants to send a large body. */
export function toCallOfferMessage({ id, bytes, targetMs, kind }: CallOffer): Message {
  return [MessageKind.CallOffer, id, bytes, Math.round(targetMs), kind];
}

/** @throws RangeError if the message offers no body. */
export function parseCallOffer([, id, bytes, targetMs, kind]: Message): CallOffer {
  const isValid =
    Number.isSafeInteger(id) &&
    Number.isSafeInteger(bytes) &&
    (bytes as number) > 0 &&
    typeof targetMs === 'number' &&
    typeof kind === 'string';
  if (!isValid)
    throw new RangeError(`offer of no valid body: id ${String(id)}, ${String(bytes)} bytes`);
  return { id: id as number, bytes: bytes as number, targetMs, kind };
}

/** Encodes that a daemon may send `bytes` more of the body of its call `id`. */
export function toCallGrantMessage(id: number, bytes: number): Message {
  return [MessageKind.CallGrant, id, bytes];
}

/** @throws RangeError if the message grants nothing. */
export function parseCallGrant([, id, bytes]: Message): {
  readonly id: number;
  readonly bytes: number;
} {
  if (typeof id !== 'number' || typeof bytes !== 'number' || !(bytes > 0))
    throw new RangeError(`grant of no bytes: id ${String(id)}, ${String(bytes)} bytes`);
  return { id, bytes };
}

/**
 * Encodes the end of an attempt, with the gate's current load for the entry's next choice. An answer
 * whose body went ahead in pieces is passed with an empty one.
 */
export function toEndMessage(id: number, end: AttemptEnd, report: GateReport): Message {
  const { load, failureRate } = report;
  if (end.type === 'answered') {
    const { status, headers, body } = end.answer;
    const times = [Math.round(end.serviceMs), Math.round(end.queuedMs), end.nestedFailed];
    const limit = end.limit === undefined ? NO_LIMIT : toLimitMessage(end.limit);
    return [MessageKind.Answer, id, load, failureRate, status, headers, body, ...times, limit];
  }
  if (end.type === 'unknown') return [MessageKind.Unknown, id, load, failureRate, end.reason];
  const retryAfterMs = Math.round(end.retryAfterMs);
  const { reason, reachedUpstream } = end;
  return [MessageKind.NotRun, id, load, failureRate, reason, retryAfterMs, reachedUpstream];
}

/** Decodes the end of an attempt. */
export function parseEnd(message: Message): AttemptEnd {
  if (message[0] === MessageKind.Answer) {
    const limit = message[10] as Message | null;
    const answer = {
      status: message[4] as number,
      headers: message[5] as string[],
      body: message[6] as Uint8Array,
    };
    return {
      type: 'answered',
      answer,
      serviceMs: message[7] as number,
      queuedMs: message[8] as number,
      nestedFailed: message[9] as boolean,
      limit: limit === NO_LIMIT ? undefined : parseLimit(limit),
    };
  }
  if (message[0] === MessageKind.Unknown) {
    return { type: 'unknown', reason: message[4] as never };
  }
  return {
    type: 'not-run',
    reason: message[4] as never,
    retryAfterMs: message[5] as number,
    reachedUpstream: message[6] as boolean,
  };
}

/** Decodes the load of the gate from the end of an attempt. */
export function parseGateLoad(message: Message): GateLoad {
  return { load: message[2] as number, failureRate: message[3] as number };
}

export function toReportMessage(report: GateReport): Message {
  const { service, open, capacity, load, serviceMs, failureRate, warmUpLeftMs } = report;
  const warmUp = warmUpLeftMs === undefined ? NO_TIME : Math.round(warmUpLeftMs);
  const version = report.softwareVersion ?? NO_VERSION;
  const fields = [service, open, capacity, load, serviceMs, failureRate, warmUp, version];
  return [MessageKind.Report, ...fields];
}

export function parseReport(message: Message): GateReport {
  return {
    service: message[1] as string,
    open: message[2] as boolean,
    capacity: message[3] as number,
    load: message[4] as number,
    serviceMs: message[5] as number,
    failureRate: message[6] as number,
    warmUpLeftMs: parseTime(message[7]),
    softwareVersion: parseText(message[8]),
  };
}

/** Encodes who this daemon is, with the time of sending by its clock. */
export function toHelloMessage(
  member: Member,
  status: Status,
  sentAtMs: number,
  grantsBodies = false,
): Message {
  const { id, dataCentre, service, address } = member;
  const { version, platformAgeMs, storeEra = NO_ERA } = status;
  const time = Math.round(sentAtMs);
  const fields = [id, dataCentre, address, version, platformAgeMs, service, time, storeEra];
  const abilities = grantsBodies ? [TAKES_CALL_PIECES, GRANTS_BODIES] : [TAKES_CALL_PIECES];
  return [MessageKind.Hello, ...fields, ...abilities];
}

/** @throws RangeError if the message names no daemon that can be linked to. */
export function parseHello(message: Message): Hello {
  const [, id, dataCentre, address, version, platformAgeMs, service, time, era, ...abilities] =
    message;
  const [takesPieces, grantsBodies] = abilities;
  const member = parseMember({ id, dataCentre, address, service });
  if (member === undefined)
    throw new RangeError(`hello of no valid daemon: id ${String(id)}, address ${String(address)}`);
  return {
    member,
    status: {
      version: version as number,
      platformAgeMs: platformAgeMs as number,
      storeEra: parseEra(era),
    },
    sentAtMs: parseTime(time),
    takesCallPieces: takesPieces === TAKES_CALL_PIECES,
    grantsBodies: grantsBodies === GRANTS_BODIES,
  };
}

export function toStatusMessage({ version, platformAgeMs, storeEra = NO_ERA }: Status): Message {
  return [MessageKind.Status, version, Math.round(platformAgeMs), storeEra];
}

export function parseStatus(message: Message): Status {
  return {
    version: message[1] as number,
    platformAgeMs: message[2] as number,
    storeEra: parseEra(message[3]),
  };
}

/** Encodes that the upstream beside the daemon `memberId` is leaving or has left. */
export function toDepartureMessage(memberId: string, upstream: Upstream): Message {
  const { id, service, capacity, state, startedAtMs, sequence } = upstream;
  return [MessageKind.Departure, memberId, id, service, capacity, state, startedAtMs, sequence];
}

export function parseDeparture(message: Message): { memberId: string; upstream: Upstream } {
  return {
    memberId: message[1] as string,
    upstream: {
      id: message[2] as string,
      service: message[3] as string,
      capacity: message[4] as number,
      state: message[5] as Upstream['state'],
      startedAtMs: message[6] as number,
      sequence: message[7] as number,
    },
  };
}

/** Encodes the limit that the upstream beside the daemon that receives the message has named. */
export function toLimitMessage({ id, startedAtMs, callsPerSecond }: NamedLimit): Message {
  return [MessageKind.Limit, id, startedAtMs, callsPerSecond];
}

export function parseLimit(message: Message): NamedLimit {
  return {
    id: message[1] as string,
    startedAtMs: message[2] as number,
    callsPerSecond: message[3] as number,
  };
}

/** Encodes what is known of calls that crashed upstreams. */
export function toCrashesMessage(notices: readonly CrashNotice[]): Message {
  return [MessageKind.Crashes, ...notices];
}

/** Decodes notices of crashes; leaves out what is none. */
export function parseCrashes([, ...notices]: Message): readonly CrashNotice[] {
  return notices.map(parseCrashNotice).filter((notice) => notice !== undefined);
}

/** Encodes an update; base version 0 marks a whole one. */
export function toUpdateMessage(update: VersionUpdate): Message {
  return [
    MessageKind.Configuration,
    update.type === 'delta' ? update.baseVersion : 0,
    update.bytes,
  ];
}

export function parseUpdate(message: Message): VersionUpdate {
  const baseVersion = message[1] as number;
  const bytes = message[2] as Uint8Array;
  return baseVersion === 0 ? { type: 'whole', bytes } : { type: 'delta', baseVersion, bytes };
}

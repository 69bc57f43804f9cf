import { createServer, type Server, type Socket } from 'node:net';
import type { CrashNotice } from '@cactusdeal/quarantine';
import {
  type ByteBudget,
  type Clock,
  formatError,
  type Log,
  parseAddress,
  scheduleTicks,
} from '@cactusdeal/shared';
import { type CallBodies, createCallBodies } from './CactusdealRelayCallBodies.js';
import {
  createMessageReader,
  encodeMessage,
  type Message,
  MessageKind,
} from './CactusdealRelayFrames.js';
import type { Downlink } from './CactusdealRelayDownlink.js';
import type { Gate } from './CactusdealRelayGate.js';
import { isReportDue } from './CactusdealRelayGateReport.js';
import { findField } from './CactusdealRelayHeaders.js';
import { createHeldCalls, type HeldCalls } from './CactusdealRelayHeldCalls.js';
import { createLinkWriter, type LinkWriter, PIECE_BYTES } from './CactusdealRelayLinkWriter.js';
import { createOfferedBodies, type OfferedBodies } from './CactusdealRelayOfferedBodies.js';
import type { ReceiveQuota } from './CactusdealRelayQuotaExchange.js';
import type { RolloutExchange } from './CactusdealRelayRollouts.js';
import { computeEstimateCapMs } from './CactusdealRelayServiceTimes.js';
import {
  type Attempt,
  type AttemptEnd,
  buildNotRun,
  CallStage,
  type CrashNoticeExchange,
  type DepartureExchange,
  type GateCall,
  type GateReport,
  type HeaderNames,
  type Member,
  NotRunReason,
  type Upstream,
} from './CactusdealRelayTypes.js';
import type { Uplink } from './CactusdealRelayUplink.js';
import type { VersionUpdate } from './CactusdealRelayVersionHistory.js';
import {
  type CallOffer,
  parseCall,
  parseCallOffer,
  parseCallTime,
  parseCrashes,
  parseDeparture,
  parseHello,
  parseLimit,
  parsePiece,
  parsePongTime,
  type Status,
  toCallGrantMessage,
  toCrashesMessage,
  toDepartureMessage,
  toEndMessage,
  toHelloMessage,
  toReportMessage,
  toStatusMessage,
  toUpdateMessage,
} from './CactusdealRelayWire.js';

/** Accepts links from other daemons and serves their calls at this daemon's gate. */
export interface LinkListener {
  /** Reports the gate's state to all linked daemons. */
  pushReport(): void;
  /** Sends this daemon's status to the linked daemons of its data centre, or to all. */
  pushStatus(audience: StatusAudience): void;
  /** Tells all linked daemons that the upstream on this host is leaving or has left. */
  pushDeparture(departure: Upstream): void;
  /** Tells all linked daemons of calls that crashed upstreams. */
  pushCrashes(notices: readonly CrashNotice[]): void;
  /** Sends a message of another part of the daemon to all linked daemons. */
  pushMessage(message: Message): void;
  /** Counts the calls of other daemons that have not ended. */
  countCalls(): number;
  close(): Promise<void>;
}

export const StatusAudience = { DataCentre: 'data-centre', All: 'all' } as const;
export type StatusAudience = (typeof StatusAudience)[keyof typeof StatusAudience];

export interface LinkListenerOptions extends DepartureExchange, CrashNoticeExchange {
  readonly self: Member;
  readonly gate: Gate;
  readonly getStatus: () => Status;
  /**
   * Builds the update for a daemon that holds `version`; undefined while this daemon holds none.
   */
  readonly buildUpdate: (version: number) => VersionUpdate | undefined;
  /** Called with each daemon that connects, known or not. */
  readonly receiveMember: (member: Member) => void;
  readonly rollouts?: RolloutExchange;
  /** Room for unfinished messages and the bodies of calls, shared with all other links. */
  readonly linkBytes: ByteBudget;
  readonly recordCancelled: (stage: CallStage) => void;
  /** Called with each call that is refused for want of room on the downlink. */
  readonly recordDownlinkRefusal?: () => void;
  /** Handles a message of the quotas; undefined if this daemon keeps none. */
  readonly receiveQuota?: ReceiveQuota | undefined;
  /** Orders the large answers of all links; undefined if the bandwidth is unknown. */
  readonly uplink?: Uplink | undefined;
  /** Orders the large bodies of calls on all links; undefined if the bandwidth is unknown. */
  readonly downlink?: Downlink | undefined;
  readonly names: Pick<HeaderNames, 'callId'>;
  readonly clock: Clock;
  readonly log: Log;
}

/** A link that another daemon has opened. */
interface AcceptedLink {
  readonly socket: Socket;
  readonly writer: LinkWriter;
  readonly activeCalls: Map<number, Attempt>;
  readonly heldCalls: HeldCalls;
  /** The other daemon; undefined until it has identified itself. */
  member: Member | undefined;
  /** Bodies of calls that are arriving in pieces. */
  readonly callBodies: CallBodies;
  /** Undefined if the bandwidth is unknown, so that bodies need no grant. */
  readonly offeredBodies: OfferedBodies | undefined;
  isLocal: boolean;
  /** State of the gate that was last reported over this link. */
  lastReported: Pick<GateReport, 'load' | 'failureRate'>;
}

/** Ticks between load reports within the data centre. */
const LOCAL_REPORT_TICKS = 1;
/**
 * Ticks between reports on all links; many because links between data centres are expensive. Also the
 * longest silence of a healthy link.
 */
const REMOTE_REPORT_TICKS = 20;
/** Ticks between status messages of a reader. */
const READER_STATUS_TICKS = 2;

/** Bytes of the body of each call that do not count among those that all links hold. */
const RESERVED_BODY_BYTES = 64 * 1024;

const NO_BODY = new Uint8Array(0);

/** Starts listening; rejects when the address is taken. */
export async function startLinkListener(options: LinkListenerOptions): Promise<LinkListener> {
  const links = new Set<AcceptedLink>();
  const server = createServer({ noDelay: true }, (socket) => {
    acceptLink(options, links, socket);
  });
  await startListening(server, options.self.address);
  const stopTicks = [
    scheduleTicks(LOCAL_REPORT_TICKS, pushLoadReports),
    scheduleTicks(READER_STATUS_TICKS, pushReaderStatus),
    scheduleTicks(REMOTE_REPORT_TICKS, () => pushReport(() => true)),
  ];
  return {
    pushReport: () => pushReport(() => true),
    pushStatus,
    pushDeparture: (departure) => {
      links.forEach((link) => write(link, toDepartureMessage(options.self.id, departure)));
    },
    pushCrashes: (notices) => links.forEach((link) => writeCrashes(link, notices)),
    pushMessage: (message) => links.forEach((link) => write(link, message)),
    countCalls: () => [...links].reduce((sum, link) => sum + link.activeCalls.size, 0),
    close: () => {
      stopTicks.forEach((stop) => stop());
      links.forEach(({ socket }) => socket.destroy());
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };

  /**
   * Reports the load within the data centre if it is or was high enough to matter; each answer also
   * carries the load.
   */
  function pushLoadReports(): void {
    const report = options.gate.getReport();
    const isDue = ({ isLocal, lastReported }: AcceptedLink): boolean =>
      isLocal && isReportDue(report, lastReported);
    if ([...links].some(isDue)) pushReport(isDue);
  }

  function pushReport(accept: (link: AcceptedLink) => boolean): void {
    const report = options.gate.getReport();
    const frame = encodeMessage(toReportMessage(report));
    links.forEach((acceptedLink) => {
      const link = acceptedLink;
      if (!accept(link)) return;
      link.lastReported = report;
      link.socket.write(frame);
    });
  }

  function pushStatus(audience: StatusAudience): void {
    const frame = encodeMessage(toStatusMessage(options.getStatus()));
    links.forEach(({ isLocal, socket }) => {
      if (isLocal || audience === StatusAudience.All) socket.write(frame);
    });
  }

  function pushReaderStatus(): void {
    if (options.getStatus().platformAgeMs >= 0) pushStatus(StatusAudience.DataCentre);
  }
}

function acceptLink(options: LinkListenerOptions, links: Set<AcceptedLink>, socket: Socket): void {
  const writer = createLinkWriter(socket, { uplink: options.uplink });
  const link: AcceptedLink = {
    socket,
    writer,
    activeCalls: new Map(),
    heldCalls: createHeldCalls({
      ...options,
      serve: (id, call) => serveCall(options, link, id, call),
      refuse: (id, end) => writeEnd(link, id, end, options.gate.getReport()),
      confirm: () => writer.write([MessageKind.Ping]),
    }),
    member: undefined,
    callBodies: createCallBodies(options.linkBytes),
    offeredBodies: createLinkOfferedBodies(options, writer),
    isLocal: false,
    lastReported: { load: 0, failureRate: 0 },
  };
  links.add(link);
  const reader = createMessageReader(
    (message) => receive(options, link, message),
    options.linkBytes,
  );
  socket.on('data', (chunk: Buffer) => {
    try {
      reader.read(chunk);
    } catch (caught) {
      options.log.warn('link-unreadable', { message: formatError(caught) });
      socket.destroy();
    }
  });
  socket.on('error', (error) => {
    options.log.info('link-broken', { message: formatError(error) });
  });
  socket.on('close', () => {
    reader.close();
    links.delete(link);
    link.callBodies.close();
    link.offeredBodies?.close();
    link.heldCalls.close();
    link.activeCalls.forEach((attempt) => attempt.cancel());
  });
}

function receive(options: LinkListenerOptions, acceptedLink: AcceptedLink, message: Message): void {
  const link = acceptedLink;
  switch (message[0]) {
    case MessageKind.Hello: {
      const { member, sentAtMs } = parseHello(message);
      link.heldCalls.receiveTime(sentAtMs);
      link.member = member;
      link.isLocal = member.dataCentre === options.self.dataCentre;
      const grantsBodies = options.downlink !== undefined;
      write(link, toHelloMessage(options.self, options.getStatus(), options.clock(), grantsBodies));
      // The entry then knows which versions are in force before it knows the gate's.
      options.rollouts?.listMessages().forEach((each) => write(link, each));
      write(link, toReportMessage(options.gate.getReport()));
      writeDepartures(options, link, options.self.id);
      writeDepartures(options, link, member.id);
      writeCrashes(link, options.listCrashNotices());
      options.receiveMember(member);
      break;
    }
    case MessageKind.Call:
      receiveCall(options, link, message);
      break;
    case MessageKind.CallOffer:
      receiveOffer(options, link, parseCallOffer(message));
      break;
    case MessageKind.CallPiece: {
      const piece = parsePiece(message);
      link.callBodies.add(piece);
      link.offeredBodies?.receive(piece.id, piece.bytes.byteLength);
      break;
    }
    case MessageKind.Cancel:
      cancelCall(options, link, message[1] as number);
      break;
    case MessageKind.Ping:
      write(link, [MessageKind.Pong]);
      break;
    case MessageKind.Pong: {
      const sentAtMs = parsePongTime(message);
      if (sentAtMs !== undefined) link.heldCalls.receiveConfirmation(sentAtMs);
      break;
    }
    case MessageKind.Departure: {
      const { memberId, upstream } = parseDeparture(message);
      options.receiveDeparture(memberId, upstream);
      break;
    }
    case MessageKind.Crashes:
      options.receiveCrashNotices(parseCrashes(message));
      break;
    case MessageKind.QuotaUsage:
    case MessageKind.QuotaSummary:
      if (link.member !== undefined)
        options.receiveQuota?.(link.member, message, (frame) => writeFrame(link, frame));
      break;
    case MessageKind.RolloutCounts:
    case MessageKind.RolloutState:
      options.rollouts?.receive(message, link.isLocal);
      break;
    case MessageKind.Limit:
      options.gate.restoreLimit(parseLimit(message));
      break;
    case MessageKind.ConfigurationRequest: {
      const update = options.buildUpdate(message[1] as number);
      if (update !== undefined) write(link, toUpdateMessage(update));
      break;
    }
    default:
  }
}

/** Tells the other daemon what is known of the upstreams beside the daemon `memberId`. */
function writeDepartures(
  { listDepartures }: LinkListenerOptions,
  link: AcceptedLink,
  memberId: string,
): void {
  listDepartures(memberId).forEach((departure) => {
    write(link, toDepartureMessage(memberId, departure));
  });
}

function writeCrashes(link: AcceptedLink, notices: readonly CrashNotice[]): void {
  if (notices.length > 0) write(link, toCrashesMessage(notices));
}

function createLinkOfferedBodies(
  { downlink, gate, clock }: LinkListenerOptions,
  writer: LinkWriter,
): OfferedBodies | undefined {
  if (downlink === undefined) return undefined;
  return createOfferedBodies({
    downlink,
    clock,
    estimateServiceMs: ({ kind, targetMs }) =>
      gate.estimateServiceMs(kind, computeEstimateCapMs(targetMs)),
    grant: (id, bytes) => writer.write(toCallGrantMessage(id, bytes)),
  });
}

/** Refuses a call whose body would arrive too late, before any of it is sent. */
function receiveOffer(options: LinkListenerOptions, link: AcceptedLink, offer: CallOffer): void {
  const waitMs = link.offeredBodies?.offer(offer) ?? 0;
  if (waitMs === 0) return;
  options.recordDownlinkRefusal?.();
  options.log.info('downlink-full', { bytes: offer.bytes, waitMs: Math.round(waitMs) });
  writeEnd(link, offer.id, buildNotRun(NotRunReason.Busy, waitMs), options.gate.getReport());
}

/** Holds a call with the body that went ahead in pieces, if it did. */
function receiveCall(options: LinkListenerOptions, link: AcceptedLink, message: Message): void {
  const id = message[1] as number;
  const call = parseCall(message);
  link.offeredBodies?.remove(id);
  const body = link.callBodies.take(id);
  if (body.type === 'excess') {
    options.log.warn('call-body-dropped', { call: findField(call.headers, options.names.callId) });
    writeEnd(link, id, buildNotRun(NotRunReason.NoMemory), options.gate.getReport());
    return;
  }
  const whole = body.type === 'whole' ? { ...call, body: body.bytes } : call;
  link.heldCalls.hold(id, whole, parseCallTime(message));
}

function cancelCall(options: LinkListenerOptions, link: AcceptedLink, id: number): void {
  const isOffered = link.offeredBodies?.remove(id) === true;
  if (link.callBodies.discard(id) || link.heldCalls.cancel(id) || isOffered) {
    options.recordCancelled(CallStage.Link);
    return;
  }
  link.activeCalls.get(id)?.cancel();
  link.writer.discard(id);
}

function serveCall(
  { gate, linkBytes, clock }: LinkListenerOptions,
  acceptedLink: AcceptedLink,
  id: number,
  call: GateCall,
): void {
  const link = acceptedLink;
  const heldBytes = Math.max(0, (call.body?.byteLength ?? 0) - RESERVED_BODY_BYTES);
  if (!linkBytes.take(heldBytes)) {
    writeEnd(link, id, buildNotRun(NotRunReason.NoMemory), gate.getReport());
    return;
  }
  const targetAtMs = clock() + call.targetMs;
  const attempt = gate.serve(call, true);
  link.activeCalls.set(id, attempt);
  void attempt.end.then((end) => {
    link.activeCalls.delete(id);
    linkBytes.release(heldBytes);
    const report = gate.getReport();
    link.lastReported = report;
    writeEnd(link, id, end, report, targetAtMs);
  });
}

function writeEnd(
  { writer }: AcceptedLink,
  id: number,
  end: AttemptEnd,
  report: GateReport,
  targetAtMs?: number,
): void {
  if (end.type !== 'answered' || end.answer.body.byteLength <= PIECE_BYTES) {
    writer.write(toEndMessage(id, end, report));
    return;
  }
  const endWithoutBody = { ...end, answer: { ...end.answer, body: NO_BODY } };
  const message = toEndMessage(id, endWithoutBody, report);
  writer.writeLarge(id, end.answer.body, () => message, targetAtMs);
}

function writeFrame({ socket }: AcceptedLink, frame: Buffer): void {
  if (!socket.destroyed) socket.write(frame);
}

function write({ writer }: AcceptedLink, message: Message): void {
  writer.write(message);
}

function startListening(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

import type { CrashNotice } from '@cactusdeal/quarantine';
import {
  type ByteBudget,
  type ByteCollector,
  type Clock,
  createByteCollector,
  type Log,
} from '@cactusdeal/shared';
import type { GateView } from './CactusdealRelayBalancer.js';
import { type Message, MessageKind } from './CactusdealRelayFrames.js';
import { createKnownGate, type KnownGate } from './CactusdealRelayKnownGate.js';
import { PIECE_BYTES } from './CactusdealRelayLinkWriter.js';
import { formatRefusalKey } from './CactusdealRelayOrganisations.js';
import { createPeerLink, type PeerLink } from './CactusdealRelayPeerLink.js';
import type { ReceiveQuota } from './CactusdealRelayQuotaExchange.js';
import type { RolloutExchange } from './CactusdealRelayRollouts.js';
import {
  type Attempt,
  type AttemptEnd,
  buildNotRun,
  type CrashNoticeExchange,
  type DepartureExchange,
  type GateCall,
  type GateReport,
  type LimitExchange,
  type Member,
  NotRunReason,
  UnknownReason,
} from './CactusdealRelayTypes.js';
import { MAX_ANSWER_BYTES } from './CactusdealRelayUpstreamAnswer.js';
import type { VersionUpdate } from './CactusdealRelayVersionHistory.js';
import {
  parseCallGrant,
  parseCrashes,
  parseDeparture,
  parseEnd,
  parseHello,
  parseGateLoad,
  parsePiece,
  parseReport,
  parseStatus,
  parseUpdate,
  type Status,
  toCallMessage,
  toCallOfferMessage,
  toCrashesMessage,
  toDepartureMessage,
  toHelloMessage,
  toLimitMessage,
  toPongMessage,
} from './CactusdealRelayWire.js';

/** The outgoing link to another daemon, over which this daemon sends calls to that one's gate. */
export interface Peer {
  readonly member: Member;
  isConnected(): boolean;
  /** Whether the link is open and the daemon has identified itself. */
  isReachable(): boolean;
  /** Whether there is a link, or connecting has not failed for long. */
  isUsable(): boolean;
  /** Time without a link, in milliseconds; 0 while there is one. */
  getDisconnectedMs(): number;
  /** Whether no call that was sent is without its end. */
  isIdle(): boolean;
  /**
   * The gate as known here; undefined until a report arrives. `estimateCapMs` bounds the service
   * time estimated for a kind without samples. `refusalKey` is that of `formatRefusalKey`, by default the kind.
   * `bodyBytes` is the size of the call's body.
   */
  getView(
    kind: string,
    estimateCapMs: number,
    refusalKey?: string,
    bodyBytes?: number,
  ): GateView | undefined;
  /** Service of the gate; undefined until a report arrives. */
  getService(): string | undefined;
  /**
   * The peer's last status, with its arrival time by this daemon's clock; undefined while there is
   * no link.
   */
  getStatus(): (Status & { readonly atMs: number }) | undefined;
  /**
   * Sends a call to the gate; it ends as not run if there is no link. At `wantedAtMs`, to which the
   * call's times refer, its caller is known to have waited.
   */
  send(call: GateCall, wantedAtMs: number): Attempt;
  /** Makes the gate ineligible for `durationMs`. */
  avoid(durationMs: number): void;
  /**
   * Requests an update from `version`, which this daemon holds, to the newest one; 0 requests a
   * whole one.
   */
  requestConfiguration(version: number): void;
  /** Writes an encoded message of the quotas. */
  sendQuota(frame: Buffer): void;
  /** Tells the daemon of calls that crashed upstreams. */
  tellCrashes(notices: readonly CrashNotice[]): void;
  /** Sends a message of another part of the daemon, unless there is no link. */
  sendMessage(message: Message): void;
  /**
   * Gives up the idempotent calls of a silent link, and closes it once no call waits on it; called
   * every `SILENCE_CHECK_MS` while calls wait.
   */
  checkSilence(): void;
  close(): void;
}

export interface PeerOptions extends DepartureExchange, LimitExchange, CrashNoticeExchange {
  readonly member: Member;
  readonly self: Member;
  readonly getStatus: () => Status;
  readonly clock: Clock;
  /** Room for unfinished messages and answers, shared with all other links. */
  readonly linkBytes: ByteBudget;
  readonly log: Log;
  readonly receiveStatus: (peer: Peer, status: Status) => void;
  readonly receiveUpdate: (peer: Peer, update: VersionUpdate) => void;
  /** Handles a message of the quotas; undefined if this daemon keeps none. */
  readonly receiveQuota?: ReceiveQuota | undefined;
  /** Called when a call begins to wait on a link on which none did; `checkSilence` has to be called from then on. */
  readonly observeWaiting?: () => void;
  /** Called after the link has ended. */
  readonly observeEnd?: () => void;
  readonly rollouts?: RolloutExchange;
}

/** A call that was sent over the link and has not ended. */
interface PendingCall {
  readonly kind: string;
  /** Calls with the same key are refused alike. */
  readonly refusalKey: string;
  readonly idempotent: boolean;
  readonly targetMs: number;
  readonly sentAtMs: number;
  readonly bodyBytes: number;
  /** Whether all of the call has been written; before that it cannot run. */
  isComplete: boolean;
  /** Pieces of a large answer that have arrived; undefined before the first one. */
  pieces: ByteCollector | undefined;
  /** Arrival of the first piece or, without pieces, of the end. */
  answeredAtMs: number | undefined;
  /** Removes the call from those that are pending, and ends it. */
  settle(end: AttemptEnd): void;
}

/** Interval between checks of all links for silence while calls wait on one of them. */
export const SILENCE_CHECK_MS = 150;

/** Time without a link after which another gate should take this one's place. */
const FAILING_AFTER_MS = 2_500;
/** Silence with calls pending after which the peer is pinged. */
const PING_AFTER_MS = 250;
/**
 * Silence with calls pending after which the peer is suspected to have failed and gets no further
 * calls.
 */
const SUSPECT_AFTER_MS = 400;
/**
 * Silence with calls pending after which the idempotent ones are given up, to run elsewhere. The
 * others may have run: they wait for the daemon to go on, as it may only be paused or cut off.
 */
const GIVE_UP_AFTER_MS = 900;
/**
 * Silence without pending calls after which the link is closed as lost; well above the interval
 * between reports.
 */
const IDLE_LINK_TIMEOUT_MS = 25_000;

/** Creates a peer, which connects and reconnects until it is closed. */
export function createPeer(options: PeerOptions): Peer {
  return new OutgoingPeer(options);
}

class OutgoingPeer implements Peer {
  public readonly member: Member;

  private readonly pendingCalls = new Map<number, PendingCall>();

  private readonly gate: KnownGate;

  private avoidedUntilMs = 0;

  private status: (Status & { readonly atMs: number }) | undefined;

  /** Whether the daemon takes the bodies of calls in pieces. */
  private takesCallPieces = false;

  /** Whether the daemon has to be offered large bodies, and grants what may be sent of them. */
  private grantsBodies = false;

  private nextId = 1;

  /** Whether calls were given up since the last message. */
  private hasGivenUp = false;

  private readonly link: PeerLink;

  public constructor(private readonly options: PeerOptions) {
    this.member = options.member;
    this.gate = createKnownGate(options.member.id, options.clock);
    this.link = createPeerLink({
      member: options.member,
      clock: options.clock,
      linkBytes: options.linkBytes,
      log: options.log,
      open: () => this.startLink(),
      receive: (message) => this.receive(message),
      end: () => this.endLink(),
    });
  }

  public isConnected(): boolean {
    return this.link.isOpen();
  }

  public isReachable(): boolean {
    return this.isConnected() && this.status !== undefined;
  }

  public isUsable(): boolean {
    return this.getDisconnectedMs() < FAILING_AFTER_MS;
  }

  public getDisconnectedMs(): number {
    return this.link.getDisconnectedMs();
  }

  public isIdle(): boolean {
    return this.pendingCalls.size === 0;
  }

  public getService(): string | undefined {
    return this.isConnected() ? this.gate.getService() : undefined;
  }

  public getView(
    kind: string,
    estimateCapMs: number,
    refusalKey = kind,
    bodyBytes = 0,
  ): GateView | undefined {
    if (!this.isConnected()) return undefined;
    const avoidedUntilMs = this.isSuspect() ? Infinity : this.avoidedUntilMs;
    return this.gate.getView({ kind, estimateCapMs, refusalKey, bodyBytes }, avoidedUntilMs);
  }

  public getStatus(): (Status & { readonly atMs: number }) | undefined {
    return this.isConnected() ? this.status : undefined;
  }

  private startLink(): void {
    const { self, member, getStatus, listDepartures, getLimit, clock } = this.options;
    this.link.write(toHelloMessage(self, getStatus(), clock()));
    listDepartures(member.id).forEach((departure) => {
      this.link.write(toDepartureMessage(member.id, departure));
    });
    const limit = getLimit(member.id);
    if (limit !== undefined) this.link.write(toLimitMessage(limit));
    this.tellCrashes(this.options.listCrashNotices());
    this.options.rollouts?.listMessages().forEach((message) => this.link.write(message));
  }

  private endLink(): void {
    this.gate.forget();
    this.status = undefined;
    this.hasGivenUp = false;
    this.takesCallPieces = false;
    this.grantsBodies = false;
    [...this.pendingCalls.values()].forEach((pending) => pending.settle(buildLostEnd(pending)));
    this.options.observeEnd?.();
  }

  private isSuspect(): boolean {
    if (this.hasGivenUp) return true;
    return this.pendingCalls.size > 0 && this.link.getSilentMs() > SUSPECT_AFTER_MS;
  }

  public checkSilence(): void {
    if (!this.isConnected()) return;
    const silentMs = this.link.getSilentMs();
    if (this.pendingCalls.size > 0) {
      if (silentMs > GIVE_UP_AFTER_MS) this.cancelIdempotent();
      else if (silentMs > PING_AFTER_MS) this.link.write([MessageKind.Ping]);
    }
    const isUseless = this.hasGivenUp || silentMs > IDLE_LINK_TIMEOUT_MS;
    if (isUseless && this.pendingCalls.size === 0)
      this.link.fail(`silent for ${Math.round(silentMs)} ms`);
  }

  private cancelIdempotent(): void {
    this.hasGivenUp = true;
    this.pendingCalls.forEach((pending, id) => {
      if (!pending.idempotent && pending.isComplete) return;
      this.writeCancel(id);
      pending.settle(buildLostEnd(pending));
    });
  }

  private writeCancel(id: number): void {
    this.link.discard(id);
    this.link.write([MessageKind.Cancel, id]);
  }

  private receive(message: Message): void {
    this.hasGivenUp = false;
    switch (message[0]) {
      case MessageKind.Answer:
      case MessageKind.NotRun:
      case MessageKind.Unknown:
        this.receiveEnd(message);
        break;
      case MessageKind.CallGrant: {
        const { id, bytes } = parseCallGrant(message);
        this.link.grant(id, bytes);
        break;
      }
      case MessageKind.AnswerPiece:
        this.receivePiece(message);
        break;
      case MessageKind.Ping:
        this.link.write(toPongMessage(this.options.clock()));
        break;
      case MessageKind.Report:
        this.receiveReport(parseReport(message));
        break;
      case MessageKind.Hello:
        this.receiveHello(message);
        break;
      case MessageKind.Status:
        this.setStatus(parseStatus(message));
        break;
      case MessageKind.Departure: {
        const { memberId, upstream } = parseDeparture(message);
        this.options.receiveDeparture(memberId, upstream);
        break;
      }
      case MessageKind.QuotaState:
      case MessageKind.QuotaSummary:
        this.options.receiveQuota?.(this.member, message, (frame) => this.sendQuota(frame));
        break;
      case MessageKind.Crashes:
        this.options.receiveCrashNotices(parseCrashes(message));
        break;
      case MessageKind.RolloutState:
        this.options.rollouts?.receive(message, false);
        break;
      case MessageKind.Configuration:
        this.options.receiveUpdate(this, parseUpdate(message));
        break;
      default:
    }
  }

  private receiveReport(report: GateReport): void {
    this.gate.receiveReport(report);
    this.options.rollouts?.observeReport(report);
  }

  /** A host's address may pass to another host, whose daemon must not be taken for this one. */
  private receiveHello(message: Message): void {
    const { member, status, takesCallPieces, grantsBodies } = parseHello(message);
    if (member.id !== this.member.id) {
      this.link.fail(`daemon ${member.id} answers at ${this.member.address}`);
      return;
    }
    this.link.accept();
    this.takesCallPieces = takesCallPieces;
    this.grantsBodies = grantsBodies;
    this.setStatus(status);
  }

  private receivePiece(message: Message): void {
    const { id, bytes } = parsePiece(message);
    const pending = this.pendingCalls.get(id);
    if (pending === undefined) return;
    pending.answeredAtMs ??= this.options.clock();
    const { linkBytes: budget } = this.options;
    pending.pieces ??= createByteCollector({ maxBytes: MAX_ANSWER_BYTES, budget });
    if (!pending.pieces.add(bytes)) this.link.fail(`no room for the answer to call ${id}`);
  }

  private receiveEnd(message: Message): void {
    const id = message[1] as number;
    this.gate.receiveLoad(parseGateLoad(message));
    const pending = this.pendingCalls.get(id);
    if (pending === undefined) return;
    if (!pending.isComplete) this.link.discard(id);
    const end = addPieces(parseEnd(message), pending.pieces);
    if (end.type === 'answered') this.options.recordLimit(this.member.id, end.limit);
    const elapsedMs = (pending.answeredAtMs ?? this.options.clock()) - pending.sentAtMs;
    this.gate.recordEnd(pending, end, elapsedMs);
    pending.settle(end);
  }

  private setStatus(status: Status): void {
    this.status = { ...status, atMs: this.options.clock() };
    this.options.receiveStatus(this, status);
  }

  public send(call: GateCall, wantedAtMs: number): Attempt {
    if (!this.isConnected()) {
      return { end: Promise.resolve(buildNotRun(NotRunReason.Unreachable)), cancel: () => {} };
    }
    const id = this.nextId;
    this.nextId += 1;
    const end = new Promise<AttemptEnd>((resolve) => {
      const { clock } = this.options;
      const { kind, idempotent, targetMs } = call;
      this.pendingCalls.set(id, {
        kind,
        refusalKey: formatRefusalKey(call),
        idempotent,
        targetMs,
        sentAtMs: clock(),
        bodyBytes: call.body?.byteLength ?? 0,
        isComplete: false,
        pieces: undefined,
        answeredAtMs: undefined,
        settle: (result) => {
          this.pendingCalls.get(id)?.pieces?.discard();
          this.pendingCalls.delete(id);
          resolve(result);
        },
      });
    });
    if (this.pendingCalls.size === 1) {
      this.link.resetSilence();
      this.options.observeWaiting?.();
    }
    this.gate.recordSent();
    this.writeCall(id, call, wantedAtMs);
    return { end, cancel: () => this.cancel(id) };
  }

  private writeCall(id: number, call: GateCall, wantedAtMs: number): void {
    const { body } = call;
    if (body === undefined || body.byteLength <= PIECE_BYTES || !this.takesCallPieces) {
      this.recordComplete(id);
      this.link.write(toCallMessage(id, call, wantedAtMs));
      return;
    }
    const buildMessage = (): Message => {
      this.recordComplete(id);
      // A caller that left before now would have had the call cancelled.
      const nowMs = this.options.clock();
      const elapsedMs = nowMs - wantedAtMs;
      const remainingMs = call.remainingMs - elapsedMs;
      const targetMs = call.targetMs - elapsedMs;
      return toCallMessage(id, { ...call, body: undefined, remainingMs, targetMs }, nowMs);
    };
    if (this.grantsBodies) this.offerBody(id, call, body, buildMessage);
    else this.link.writeLarge(id, body, buildMessage);
  }

  private offerBody(
    id: number,
    { targetMs, kind }: GateCall,
    body: Uint8Array,
    buildMessage: () => Message,
  ): void {
    this.link.writeGranted(id, body, buildMessage);
    this.link.write(toCallOfferMessage({ id, bytes: body.byteLength, targetMs, kind }));
  }

  private recordComplete(id: number): void {
    const pending = this.pendingCalls.get(id);
    if (pending !== undefined) pending.isComplete = true;
  }

  private cancel(id: number): void {
    const pending = this.pendingCalls.get(id);
    if (pending === undefined) return;
    this.gate.recordAbandoned(pending.kind, this.options.clock() - pending.sentAtMs);
    this.writeCancel(id);
    pending.settle({ type: 'unknown', reason: UnknownReason.Cancelled });
  }

  public avoid(durationMs: number): void {
    this.avoidedUntilMs = this.options.clock() + durationMs;
  }

  public requestConfiguration(version: number): void {
    this.link.write([MessageKind.ConfigurationRequest, version]);
  }

  public sendQuota(frame: Buffer): void {
    this.link.writeFrame(frame);
  }

  public tellCrashes(notices: readonly CrashNotice[]): void {
    if (notices.length > 0) this.link.write(toCrashesMessage(notices));
  }

  public sendMessage(message: Message): void {
    this.link.write(message);
  }

  public close(): void {
    this.link.close();
  }
}

/** The end of a call whose link is lost: it has run only if all of it was sent. */
function buildLostEnd({ isComplete }: PendingCall): AttemptEnd {
  return isComplete
    ? { type: 'unknown', reason: UnknownReason.LinkLost }
    : buildNotRun(NotRunReason.Unreachable);
}

/** Puts the pieces that went ahead of an answer in place of its body. */
function addPieces(end: AttemptEnd, pieces: ByteCollector | undefined): AttemptEnd {
  if (end.type !== 'answered' || pieces === undefined) return end;
  return { ...end, answer: { ...end.answer, body: pieces.take() } };
}

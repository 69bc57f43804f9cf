import { connect, type Socket } from 'node:net';
import { type Clock, formatCaught, type Log, parseAddress, waitMs } from '@cactusdeal/shared';
import type { GateView, Refusal } from './CactusdealRelayBalancer.js';
import {
  createMessageReader,
  encodeMessage,
  type Message,
  MessageKind,
} from './CactusdealRelayFrames.js';
import { createGateLatency, type GateLatency } from './CactusdealRelayGatePace.js';
import {
  type Attempt,
  type AttemptEnd,
  buildNotRun,
  type GateCall,
  type GateReport,
  type Member,
  NotRunReason,
  UnknownReason,
} from './CactusdealRelayTypes.js';
import type { VersionUpdate } from './CactusdealRelayVersionHistory.js';
import {
  parseEnd,
  parseHello,
  parseReport,
  parseStatus,
  parseUpdate,
  type Status,
  toCallMessage,
  toHelloMessage,
} from './CactusdealRelayWire.js';

/** The link that this daemon dials to another one, over which it sends calls to that one's gate. */
export interface Peer {
  readonly member: Member;
  isConnected(): boolean;
  /** Undefined while the gate is not known; `estimateCapMs` is the most that an unknown kind is taken to need. */
  getView(kind: string, estimateCapMs: number): GateView | undefined;
  /** Service of the gate; undefined while the gate is not known. */
  getService(): string | undefined;
  /** What the peer last said of itself, with the time of that by this daemon's clock. */
  getStatus(): (Status & { readonly atMs: number }) | undefined;
  send(call: GateCall): Attempt;
  /** Keeps calls away from the gate for a while. */
  avoid(durationMs: number): void;
  /** Asks for what is newer than the version held here; 0 for all of it. */
  askConfiguration(version: number): void;
  /** Gives a link up that has been silent for too long; called every `SILENCE_CHECK_MS`. */
  checkSilence(): void;
  close(): void;
}

export interface PeerOptions {
  readonly member: Member;
  readonly self: Member;
  readonly getStatus: () => Status;
  readonly clock: Clock;
  readonly log: Log;
  readonly receiveStatus: (peer: Peer, status: Status) => void;
  readonly receiveUpdate: (peer: Peer, update: VersionUpdate) => void;
}

interface Pending {
  readonly kind: string;
  readonly targetMs: number;
  readonly sentAtMs: number;
  settle(end: AttemptEnd): void;
}

/** Time between two checks of all links for silence. */
export const SILENCE_CHECK_MS = 150;

const CONNECT_TIMEOUT_MS = 1_000;
const LEAST_BACKOFF_MS = 50;
const MOST_BACKOFF_MS = 1_500;
/** Silence with calls pending after which the peer is asked for a sign of life. */
const PING_AFTER_MS = 250;
/** Silence with calls pending after which the gate gets no further calls. */
const DOUBT_AFTER_MS = 400;
/** Silence with calls pending after which the link is given up. */
const LOST_AFTER_MS = 900;
/** Silence without calls after which the link is given up; well above the time between reports. */
const IDLE_LOST_AFTER_MS = 25_000;

/** Dials a peer for as long as it is not closed. */
export function createPeer(options: PeerOptions): Peer {
  return new DialledPeer(options);
}

class DialledPeer implements Peer {
  public readonly member: Member;

  private readonly stop = new AbortController();

  private readonly pending = new Map<number, Pending>();

  private socket: Socket | undefined;

  private report: GateReport | undefined;

  private reportedAtMs = 0;

  private unreportedCalls = 0;

  private avoidedUntilMs = 0;

  private readonly pace: GateLatency;

  /** The last refusal for want of room, by kind of call. */
  private readonly refusals = new Map<string, Refusal>();

  private status: (Status & { readonly atMs: number }) | undefined;

  private heardAtMs = 0;

  private nextId = 1;

  private backoffMs = LEAST_BACKOFF_MS;

  public constructor(private readonly options: PeerOptions) {
    this.member = options.member;
    this.pace = createGateLatency(options.clock);
    void this.run();
  }

  public isConnected(): boolean {
    return this.socket !== undefined;
  }

  public getService(): string | undefined {
    return this.socket === undefined ? undefined : this.report?.service;
  }

  public getView(kind: string, estimateCapMs: number): GateView | undefined {
    if (this.socket === undefined || this.report === undefined) return undefined;
    const { report, reportedAtMs, unreportedCalls } = this;
    const avoidedUntilMs = this.isDoubtful() ? Infinity : this.avoidedUntilMs;
    const serviceMs = this.pace.getServiceMs(kind) ?? Math.min(report.serviceMs, estimateCapMs);
    const overheadMs = this.pace.getOverheadMs();
    const refusal = this.refusals.get(kind);
    return {
      memberId: this.member.id,
      isOwn: false,
      report,
      reportedAtMs,
      unreportedCalls,
      avoidedUntilMs,
      refusal,
      serviceMs,
      overheadMs,
    };
  }

  public getStatus(): (Status & { readonly atMs: number }) | undefined {
    return this.socket === undefined ? undefined : this.status;
  }

  /** The task of this peer: dial, serve the link until it ends, wait, dial again. */
  private async run(): Promise<void> {
    const { signal } = this.stop;
    while (!signal.aborted) {
      const end = await this.serveLink();
      if (signal.aborted) return;
      this.options.log.info('link-lost', { peer: this.member.id, reason: end });
      await waitMs(this.backoffMs * (0.5 + Math.random()), signal);
      this.backoffMs = Math.min(MOST_BACKOFF_MS, this.backoffMs * 2);
    }
  }

  private serveLink(): Promise<string> {
    const { host, port } = parseAddress(this.member.address);
    const socket = connect({ host, port, noDelay: true });
    return new Promise((resolve) => {
      let reason = 'closed by the peer';
      const timeout = setTimeout(() => socket.destroy(new Error('timeout')), CONNECT_TIMEOUT_MS);
      const close = (): unknown => socket.destroy();
      this.stop.signal.addEventListener('abort', close, { once: true });
      socket.on('connect', () => {
        clearTimeout(timeout);
        this.startLink(socket);
      });
      const read = createMessageReader((message) => this.receive(message));
      socket.on('data', (chunk: Buffer) => {
        this.heardAtMs = this.options.clock();
        try {
          read(chunk);
        } catch (caught) {
          socket.destroy(new Error(formatCaught(caught)));
        }
      });
      socket.on('error', (error) => {
        reason = formatCaught(error);
      });
      socket.on('close', () => {
        clearTimeout(timeout);
        this.stop.signal.removeEventListener('abort', close);
        this.endLink();
        resolve(reason);
      });
    });
  }

  private startLink(socket: Socket): void {
    const { self, getStatus, clock, log } = this.options;
    this.socket = socket;
    this.heardAtMs = clock();
    this.write(toHelloMessage(self, getStatus()));
    log.info('link-opened', { peer: this.member.id });
  }

  private endLink(): void {
    this.socket = undefined;
    this.report = undefined;
    this.status = undefined;
    this.unreportedCalls = 0;
    this.refusals.clear();
    const lost = [...this.pending.values()];
    this.pending.clear();
    lost.forEach(({ settle }) => settle({ type: 'unknown', reason: UnknownReason.LinkLost }));
  }

  private isDoubtful(): boolean {
    return this.pending.size > 0 && this.options.clock() - this.heardAtMs > DOUBT_AFTER_MS;
  }

  public checkSilence(): void {
    const { socket } = this;
    if (socket === undefined) return;
    const silentMs = this.options.clock() - this.heardAtMs;
    const isWaiting = this.pending.size > 0;
    if (silentMs > (isWaiting ? LOST_AFTER_MS : IDLE_LOST_AFTER_MS)) {
      socket.destroy(new Error(`silent for ${Math.round(silentMs)} ms`));
    } else if (isWaiting && silentMs > PING_AFTER_MS) {
      this.write([MessageKind.Ping]);
    }
  }

  private receive(message: Message): void {
    switch (message[0]) {
      case MessageKind.Answer:
      case MessageKind.NotRun:
      case MessageKind.Unknown:
        this.receiveEnd(message);
        break;
      case MessageKind.Report:
        this.takeReport(parseReport(message));
        break;
      case MessageKind.Hello:
        this.backoffMs = LEAST_BACKOFF_MS;
        this.takeStatus(parseHello(message).status);
        break;
      case MessageKind.Status:
        this.takeStatus(parseStatus(message));
        break;
      case MessageKind.Configuration:
        this.options.receiveUpdate(this, parseUpdate(message));
        break;
      default:
    }
  }

  private receiveEnd(message: Message): void {
    const id = message[1] as number;
    if (this.report !== undefined) {
      const load = message[2] as number;
      this.takeReport({ ...this.report, load, failureRate: message[3] as number });
    }
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    this.pending.delete(id);
    const end = parseEnd(message);
    if (end.type === 'answered') {
      const elapsedMs = this.options.clock() - pending.sentAtMs;
      this.pace.recordAnswer(pending.kind, elapsedMs, end.serviceMs, end.queuedMs);
    } else if (end.type === 'not-run' && end.reason === NotRunReason.Busy) {
      const { kind, targetMs } = pending;
      this.refusals.set(kind, { atMs: this.options.clock(), targetMs });
    }
    pending.settle(end);
  }

  private takeReport(report: GateReport): void {
    this.report = report;
    this.reportedAtMs = this.options.clock();
    this.unreportedCalls = 0;
  }

  private takeStatus(status: Status): void {
    this.status = { ...status, atMs: this.options.clock() };
    this.options.receiveStatus(this, status);
  }

  public send(call: GateCall): Attempt {
    if (this.socket === undefined) {
      return { end: Promise.resolve(buildNotRun(NotRunReason.Unreachable)), cancel: () => {} };
    }
    const id = this.nextId;
    this.nextId += 1;
    const end = new Promise<AttemptEnd>((resolve) => {
      const { clock } = this.options;
      const { kind, targetMs } = call;
      this.pending.set(id, { kind, targetMs, sentAtMs: clock(), settle: resolve });
    });
    if (this.pending.size === 1) this.heardAtMs = this.options.clock();
    this.unreportedCalls += 1;
    this.write(toCallMessage(id, call));
    return { end, cancel: () => this.cancel(id) };
  }

  private cancel(id: number): void {
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    this.pending.delete(id);
    this.pace.recordAbandoned(pending.kind, this.options.clock() - pending.sentAtMs);
    this.write([MessageKind.Cancel, id]);
    pending.settle({ type: 'unknown', reason: UnknownReason.Cancelled });
  }

  public avoid(durationMs: number): void {
    this.avoidedUntilMs = this.options.clock() + durationMs;
  }

  public askConfiguration(version: number): void {
    this.write([MessageKind.WantConfiguration, version]);
  }

  private write(message: Message): void {
    this.socket?.write(encodeMessage(message));
  }

  public close(): void {
    this.stop.abort();
  }
}

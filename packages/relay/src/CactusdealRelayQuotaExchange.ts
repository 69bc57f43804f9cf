import type { Clock, Log, Random } from '@cactusdeal/shared';
import { encodeMessage, type Message, MessageKind } from './CactusdealRelayFrames.js';
import {
  createQuotaCoordinator,
  type QuotaCoordinator,
} from './CactusdealRelayQuotaCoordinator.js';
import {
  createEntryQuotas,
  type EntryQuotas,
  type QuotaDecision,
} from './CactusdealRelayQuotaLimiter.js';
import {
  type NamedThrottle,
  parseState,
  parseSummary,
  parseUsage,
  toStateMessage,
  toSummaryMessage,
  toUsageMessage,
} from './CactusdealRelayQuotaWire.js';
import type { Member, OrganisationRule } from './CactusdealRelayTypes.js';

/** A daemon to which this one has opened a link. */
export interface QuotaPeer {
  readonly member: Member;
  /** Whether the link is open and the daemon has identified itself. */
  isReachable(): boolean;
  /** Writes an encoded message. */
  sendQuota(frame: Buffer): void;
}

/** Writes an encoded message to the daemon that sent one; does nothing once the link is lost. */
export type QuotaReply = (frame: Buffer) => void;

/** Handles a message of the quotas. */
export type ReceiveQuota = (from: Member, message: Message, reply: QuotaReply) => void;

/**
 * Keeps quotas over all daemons: counts the calls of this daemon's entry, reports them to the
 * coordinator of the data centre, and is the coordinator where this daemon is the lowest reachable one.
 * Times are read from the clock; the caller runs the timers.
 */
export interface QuotaExchange {
  admit(organisation: OrganisationRule): QuotaDecision;
  release(name: string): void;
  /** Reports, decides and sends what is due; called every `QUOTA_TICK_MS`. */
  tick(): void;
  /** Does at once what cannot wait for the next tick; called when `wake` asked for it or a link opened. */
  runEarly(): void;
  receive(from: Member, message: Message, reply: QuotaReply): void;
  getStatus(): QuotaStatus;
}

/** What operators see of the quotas. */
export interface QuotaStatus {
  readonly throttles: readonly NamedThrottle[];
  /** Whether other daemons report to this one, or would if there were any. */
  readonly isCoordinator: boolean;
  readonly isIsolated: boolean;
}

export interface QuotaExchangeOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly listPeers: () => readonly QuotaPeer[];
  /** Counts the hosts that this daemon knows, its own included. */
  readonly countHosts: () => number;
  /** The organisations with a quota; the same array until the configuration changes. */
  readonly getRules: () => readonly OrganisationRule[];
  /** Asks for `runEarly` soon. */
  readonly wake: () => void;
}

/** Interval between reports of entries and between decisions, in milliseconds. */
export const QUOTA_TICK_MS = 250;
/** Longest time between two reports of an entry, and between two states without throttling. */
const KEEP_ALIVE_MS = 1_000;
/** Time without a coordinator after which an entry is isolated. */
const ISOLATED_AFTER_MS = 1_500;
/**
 * Time after its start in which a coordinator sends entries no state: after a restart of all daemons in a
 * surge, entries are isolated until it has counted for some time.
 */
const START_MS = 800;
/** Ticks come a little early or late. */
const TICK_TOLERANCE_MS = 50;
/** Daemons of another data centre that get summaries while none of them has sent one. */
const FIRST_TARGETS = 2;

/** A daemon that has sent reports or summaries lately. */
interface QuotaSender {
  readonly member: Member;
  reply: QuotaReply;
  receivedAtMs: number;
  stateSentAtMs: number;
}

export function createQuotaExchange(options: QuotaExchangeOptions): QuotaExchange {
  return new LinkQuotaExchange(options);
}

class LinkQuotaExchange implements QuotaExchange {
  private readonly entry: EntryQuotas;

  private readonly coordinator: QuotaCoordinator;

  private rules: readonly OrganisationRule[] = [];

  private coordinatorId: string | undefined;

  private chosenAtMs = -Infinity;

  /** Daemons that did not respond as coordinators, until they do or their links are lost. */
  private readonly suspects = new Set<string>();

  private readonly entries = new Map<string, QuotaSender>();

  private readonly coordinators = new Map<string, QuotaSender>();

  private throttledNames = '';

  private tickedAtMs: number;

  /** When the first rules were applied. */
  private startedAtMs = Infinity;

  /** Time without a coordinator; pauses of this process do not count. */
  private silentMs = ISOLATED_AFTER_MS;

  private isIsolated = true;

  private reportedAtMs = -Infinity;

  public constructor(private readonly options: QuotaExchangeOptions) {
    this.entry = createEntryQuotas(options.random);
    this.coordinator = createQuotaCoordinator(options.self.id);
    this.tickedAtMs = options.clock();
  }

  public admit(organisation: OrganisationRule): QuotaDecision {
    const decision = this.entry.admit(organisation, this.options.clock());
    if (this.entry.hasSurge() && !this.isIsolated) this.options.wake();
    return decision;
  }

  public release(name: string): void {
    this.entry.release(name);
  }

  public tick(): void {
    const nowMs = this.options.clock();
    this.applyRules(nowMs);
    this.silentMs += Math.min(QUOTA_TICK_MS, nowMs - this.tickedAtMs);
    this.tickedAtMs = nowMs;
    this.chooseCoordinator(nowMs);
    this.recordOwnCoordination(nowMs);
    this.setIsolation();
    this.report(nowMs);
    if (this.isCoordinating()) this.coordinate(nowMs, false);
  }

  public runEarly(): void {
    const nowMs = this.options.clock();
    if (this.isIsolated) this.chooseCoordinator(nowMs);
    if (this.isIsolated || this.entry.hasSurge()) this.report(nowMs);
    if (this.isCoordinating()) this.coordinate(nowMs, true);
  }

  private applyRules(nowMs: number): void {
    const rules = this.options.getRules();
    if (rules === this.rules) return;
    this.rules = rules;
    this.startedAtMs = Math.min(this.startedAtMs, nowMs);
    this.coordinator.setRules(rules, nowMs);
    this.entry.retain(new Set(rules.map(({ name }) => name)));
  }

  /** The lowest id of the data centre that is reachable and responds; this daemon's own counts as well. */
  private chooseCoordinator(nowMs: number): void {
    const { self, log } = this.options;
    const local = this.options.listPeers().filter(({ member }) => this.isLocal(member));
    local.forEach((peer) => {
      if (!peer.isReachable()) this.suspects.delete(peer.member.id);
    });
    const current = this.coordinatorId;
    const isTried = nowMs - this.chosenAtMs >= ISOLATED_AFTER_MS;
    if (isTried && this.silentMs >= ISOLATED_AFTER_MS && current !== undefined)
      this.suspects.add(current);
    const ids = local
      .filter((peer) => peer.isReachable() && !this.suspects.has(peer.member.id))
      .map(({ member }) => member.id);
    const chosen = [self.id, ...ids].reduce((lowest, id) => (id < lowest ? id : lowest));
    if (chosen === current) return;
    log.info('quota-coordinator-changed', { coordinator: chosen, before: current });
    this.coordinatorId = chosen;
    this.chosenAtMs = nowMs;
    this.reportedAtMs = -Infinity;
  }

  private isLocal(member: Member): boolean {
    return member.dataCentre === this.options.self.dataCentre;
  }

  /** A coordinator alone among known hosts is cut off, and limits as an isolated entry does. */
  private recordOwnCoordination(nowMs: number): void {
    const { self, countHosts } = this.options;
    if (this.coordinatorId !== self.id || this.isStarting(nowMs)) return;
    if (countHosts() <= 1 || this.coordinator.hasOtherHosts(nowMs)) this.silentMs = 0;
  }

  private isStarting(nowMs: number): boolean {
    return nowMs - this.startedAtMs < START_MS;
  }

  private setIsolation(): void {
    const isIsolated = this.silentMs >= ISOLATED_AFTER_MS;
    if (isIsolated) this.entry.setThrottles([]);
    this.entry.setIsolation(isIsolated, this.options.countHosts());
    if (isIsolated === this.isIsolated) return;
    this.isIsolated = isIsolated;
    this.options.log.info(isIsolated ? 'quota-isolated' : 'quota-isolation-ended', {
      coordinator: this.coordinatorId,
      hosts: this.options.countHosts(),
    });
  }

  private report(nowMs: number): void {
    const { self, listPeers } = this.options;
    // Coordinators have counted these calls as the share of a silent host.
    if (this.silentMs > ISOLATED_AFTER_MS + QUOTA_TICK_MS) this.entry.discardUsage(nowMs);
    const usages = this.entry.takeUsage(nowMs);
    const isDue = nowMs - this.reportedAtMs >= KEEP_ALIVE_MS - TICK_TOLERANCE_MS;
    if (usages.length === 0 && !isDue) return;
    this.reportedAtMs = nowMs;
    if (this.coordinatorId === self.id) {
      this.coordinator.receiveUsage(self.id, usages, nowMs);
      return;
    }
    const peer = listPeers().find(({ member }) => member.id === this.coordinatorId);
    peer?.sendQuota(encodeMessage(toUsageMessage(usages)));
  }

  public receive(from: Member, message: Message, reply: QuotaReply): void {
    const nowMs = this.options.clock();
    this.applyRules(nowMs);
    if (message[0] === MessageKind.QuotaUsage) {
      const isNew = !this.entries.has(from.id);
      recordSender(this.entries, from, reply, nowMs);
      const isUrgent = this.coordinator.receiveUsage(from.id, parseUsage(message), nowMs);
      if (isNew && !this.isStarting(nowMs))
        reply(encodeMessage(toStateMessage(this.coordinator.listThrottles())));
      if (isUrgent) this.options.wake();
    } else if (message[0] === MessageKind.QuotaSummary) {
      recordSender(this.coordinators, from, reply, nowMs);
      this.coordinator.receiveSummary(from.id, parseSummary(message), nowMs);
    } else if (message[0] === MessageKind.QuotaState) {
      this.receiveState(from, parseState(message));
    }
  }

  /** Ignores the state of a daemon that is not the chosen coordinator; it is no longer suspected. */
  private receiveState(from: Member, throttles: readonly NamedThrottle[]): void {
    this.suspects.delete(from.id);
    if (from.id !== this.coordinatorId) return;
    this.silentMs = 0;
    this.setIsolation();
    this.applyThrottles(throttles);
  }

  private applyThrottles(throttles: readonly NamedThrottle[]): void {
    const before = new Set(this.entry.listThrottles().map(({ name }) => name));
    this.entry.setThrottles(throttles);
    throttles.forEach(({ name, ...throttle }) => {
      if (!before.delete(name)) this.options.log.info('quota-throttled', { name, ...throttle });
    });
    before.forEach((name) => this.options.log.info('quota-throttle-ended', { name }));
  }

  private isCoordinating(): boolean {
    return this.entries.size > 0 || this.coordinatorId === this.options.self.id;
  }

  private coordinate(nowMs: number, isEarly: boolean): void {
    this.coordinator.decide(this.options.countHosts(), nowMs);
    const throttles = this.coordinator.listThrottles();
    const names = throttles.map(({ name }) => name).join('\n');
    const hasChanged = names !== this.throttledNames;
    this.throttledNames = names;
    if (this.coordinatorId === this.options.self.id && !this.isIsolated)
      this.applyThrottles(throttles);
    if (!this.isStarting(nowMs) && (!isEarly || hasChanged))
      this.pushState(throttles, hasChanged, nowMs);
    this.pushSummary(nowMs, isEarly);
  }

  private pushState(throttles: readonly NamedThrottle[], hasChanged: boolean, nowMs: number): void {
    const intervalMs = throttles.length > 0 || hasChanged ? 0 : KEEP_ALIVE_MS;
    let frame: Buffer | undefined;
    this.entries.forEach((entry, id) => {
      const sender = entry;
      if (nowMs - sender.receivedAtMs > 2 * KEEP_ALIVE_MS) this.entries.delete(id);
      else if (nowMs - sender.stateSentAtMs >= intervalMs - TICK_TOLERANCE_MS) {
        frame ??= encodeMessage(toStateMessage(throttles));
        sender.stateSentAtMs = nowMs;
        sender.reply(frame);
      }
    });
  }

  private pushSummary(nowMs: number, isEarly: boolean): void {
    const targets = this.listSummaryTargets(nowMs);
    const summary = this.coordinator.takeSummary(nowMs);
    const isEmpty = isEarly && summary.sums.length === 0;
    if (isEmpty || targets.length === 0) return;
    const frame = encodeMessage(toSummaryMessage(summary));
    targets.forEach((reply) => reply(frame));
  }

  /** Coordinators that sent a summary recently and, of data centres without one, the lowest ids. */
  private listSummaryTargets(nowMs: number): readonly QuotaReply[] {
    const { self, listPeers } = this.options;
    this.coordinators.forEach(({ receivedAtMs }, id) => {
      if (nowMs - receivedAtMs > KEEP_ALIVE_MS) this.coordinators.delete(id);
    });
    const active = [...this.coordinators.values()];
    const activeDataCentres = new Set(active.map(({ member }) => member.dataCentre));
    const inactive = listPeers()
      .filter((peer) => peer.isReachable() && !this.coordinators.has(peer.member.id))
      .sort((left, right) => (left.member.id < right.member.id ? -1 : 1));
    const remote = groupByDataCentre(inactive)
      .filter(
        ([dataCentre]) => dataCentre !== self.dataCentre && !activeDataCentres.has(dataCentre),
      )
      .flatMap(([, peers]) => peers.slice(0, FIRST_TARGETS));
    const local = inactive.filter(
      ({ member }) => member.id === this.coordinatorId && member.id !== self.id,
    );
    return [
      ...active.map(({ reply }) => reply),
      ...[...remote, ...local].map((peer) => (frame: Buffer) => peer.sendQuota(frame)),
    ];
  }

  public getStatus(): QuotaStatus {
    return {
      throttles: this.entry.listThrottles(),
      isCoordinator: this.coordinatorId === this.options.self.id,
      isIsolated: this.isIsolated,
    };
  }
}

function groupByDataCentre(
  peers: readonly QuotaPeer[],
): readonly (readonly [string, readonly QuotaPeer[]])[] {
  const groups = new Map<string, QuotaPeer[]>();
  peers.forEach((peer) => {
    const group = groups.get(peer.member.dataCentre);
    if (group === undefined) groups.set(peer.member.dataCentre, [peer]);
    else group.push(peer);
  });
  return [...groups];
}

function recordSender(
  senders: Map<string, QuotaSender>,
  member: Member,
  reply: QuotaReply,
  nowMs: number,
): void {
  const known = senders.get(member.id);
  if (known === undefined) {
    senders.set(member.id, { member, reply, receivedAtMs: nowMs, stateSentAtMs: -Infinity });
    return;
  }
  known.reply = reply;
  known.receivedAtMs = nowMs;
}

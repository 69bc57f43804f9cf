import type { Clock, Log, Random } from '@cactusdeal/shared';
import { type Message, MessageKind } from './CactusdealRelayFrames.js';
import type { Peer } from './CactusdealRelayPeer.js';
import type { OrderReading, RolloutStore } from './CactusdealRelayPorts.js';
import { createVersionChoice, type VersionChoice } from './CactusdealRelayRolloutChoice.js';
import { createRolloutCoordinator } from './CactusdealRelayRolloutCoordinator.js';
import { createRolloutCounts, type RequestResult } from './CactusdealRelayRolloutCounts.js';
import { createRolloutRecords } from './CactusdealRelayRolloutRecords.js';
import { createRolloutStatusWriter } from './CactusdealRelayRolloutStatusWriter.js';
import { type Rollout, RolloutPhase } from './CactusdealRelayRolloutTypes.js';
import { parseRollout, toRolloutMessage } from './CactusdealRelayRolloutWire.js';
import type { GateReport, HeaderNames, Member, Upstream } from './CactusdealRelayTypes.js';

/** Exchange of what is known of rollouts, with each linked daemon. */
export interface RolloutExchange {
  /** What a daemon is sent when a link opens, before the gate's report. */
  listMessages(): readonly Message[];
  /** Handles a message about rollouts; `isLocal` if its sender is in the own data centre. */
  receive(message: Message, isLocal: boolean): void;
  observeReport(report: GateReport): void;
  /** Whether the gate's version has been replaced by that of a rollout that succeeded. */
  isReplaced(report: GateReport): boolean;
}

/** Rollouts of new versions of upstreams' software. Without an order it sends and reads nothing. */
export interface Rollouts extends RolloutExchange {
  readonly versions: VersionChoice;
  /** Handles orders that were read from the store. */
  receiveReading(reading: OrderReading): void;
  setUpstream(upstream: Upstream | undefined): void;
  /** Counts the end of a request to the upstream on this host. */
  recordResult(result: RequestResult): void;
  list(): readonly Rollout[];
  close(): void;
}

export interface RolloutsOptions {
  readonly self: Member;
  readonly names: HeaderNames;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Undefined if there is no store for the statuses of rollouts. */
  readonly store: RolloutStore | undefined;
  /** Whether this daemon reads the store for its data centre. */
  readonly isReader: () => boolean;
  readonly listPeers: () => readonly Peer[];
  /** Sends a message over all links. */
  readonly broadcast: (message: Message) => void;
  /** Called with each call that is sent to the target of a running rollout. */
  readonly recordExposure: (service: string) => void;
}

/** Interval between checks of the rollouts that are under way. */
const CHECK_MS = 250;

export function createRollouts(options: RolloutsOptions): Rollouts {
  const { clock, log, broadcast } = options;
  const records = createRolloutRecords({ clock, log, observe });
  const counts = createRolloutCounts({ ...options, memberId: options.self.id, getTarget });
  const versions = createVersionChoice({ ...options, getRule: records.getRule });
  const writer = createRolloutStatusWriter({ ...options, records });
  const coordinator = createRolloutCoordinator({ ...options, records, counts, writer });
  let timer: NodeJS.Timeout | undefined;
  return {
    versions,
    receiveReading,
    setUpstream: (upstream) => counts.setUpstream(upstream),
    recordResult: (result) => counts.record(result),
    listMessages: () => records.list().map((rollout) => toRolloutMessage(rollout, clock())),
    receive,
    observeReport: (report) => versions.observeReport(report),
    isReplaced: ({ service, softwareVersion }) => {
      const rule = records.getRule(service);
      return rule?.phase === RolloutPhase.Succeeded && softwareVersion !== rule.targetVersion;
    },
    list: () => records.list(),
    close: () => clearInterval(timer),
  };

  function getTarget(service: string): string | undefined {
    const rule = records.getRule(service);
    return rule?.phase === RolloutPhase.Running ? rule.targetVersion : undefined;
  }

  function observe(rollout: Rollout): void {
    broadcast(toRolloutMessage(rollout, clock()));
    timer ??= setInterval(check, CHECK_MS);
  }

  function receiveReading({ orders, point, isComplete }: OrderReading): void {
    orders.forEach((order) => {
      records.receiveOrder(order, point, !isComplete);
      // The store may have come back from an old copy, without the status that it held.
      writer.requestCheck(order.service);
    });
    if (orders.length > 0) timer ??= setInterval(check, CHECK_MS);
  }

  function receive(message: Message, isLocal: boolean): void {
    if (message[0] === MessageKind.RolloutState)
      records.receiveRollout(parseRollout(message, clock()));
    else coordinator.receiveCounts(message, isLocal);
  }

  function check(): void {
    const pending = records.list().filter(isPending);
    pending.forEach((rollout) => {
      coordinator.check(rollout);
      writer.check(rollout.order);
    });
    if (pending.length > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  /** Whether an order is undecided, or the store may not hold its decision. */
  function isPending(rollout: Rollout): boolean {
    const { service } = rollout.order;
    if (records.getCurrent(service) !== rollout) return false;
    const isUndecided = rollout.phase === RolloutPhase.Running;
    return isUndecided || !rollout.isStored || writer.hasRequest(service);
  }
}

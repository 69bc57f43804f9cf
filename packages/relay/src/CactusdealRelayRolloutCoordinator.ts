import type { Clock, Log } from '@cactusdeal/shared';
import type { Message } from './CactusdealRelayFrames.js';
import type { Peer } from './CactusdealRelayPeer.js';
import { type CountRow, mergeRows, type RolloutCounts } from './CactusdealRelayRolloutCounts.js';
import {
  compareVersions,
  computeDecision,
  countTargetResponses,
  type DataCentreCounts,
  RolloutDecision,
} from './CactusdealRelayRolloutDecision.js';
import { isLeader, listLeaders } from './CactusdealRelayRolloutLeaders.js';
import type { RolloutRecords } from './CactusdealRelayRolloutRecords.js';
import type { RolloutStatusWriter } from './CactusdealRelayRolloutStatusWriter.js';
import { type Rollout, RolloutPhase } from './CactusdealRelayRolloutTypes.js';
import { parseCounts, toCountsMessage } from './CactusdealRelayRolloutWire.js';
import type { Member } from './CactusdealRelayTypes.js';

/**
 * Collects the counts of running rollouts and decides. Gates send their counts to the lowest ids of their
 * data centre; the lowest one sends the sum to the other data centres and decides from all sums that it
 * has. All counts run from the start of the rollout, so that a lost or repeated message does no harm.
 */
export interface RolloutCoordinator {
  receiveCounts(message: Message, isLocal: boolean): void;
  /** Sends counts and decides, as far as this daemon has to; called repeatedly while a rollout runs. */
  check(rollout: Rollout): void;
}

export interface RolloutCoordinatorOptions {
  readonly self: Member;
  readonly records: RolloutRecords;
  readonly counts: RolloutCounts;
  readonly writer: RolloutStatusWriter;
  readonly listPeers: () => readonly Peer[];
  readonly clock: Clock;
  readonly log: Log;
}

/** Daemons of the own data centre that get a gate's counts: the coordinator and the one after it. */
const COUNTS_RECEIVERS = 2;
/** Interval between messages of a gate of the target, and of a coordinator. */
const SEND_MS = 500;
/** The same for the gates of other versions, which are many and whose rates are known well. */
const OTHERS_SEND_MS = 1_000;
/** Age of a data centre's counts beyond which it is silent. */
const SILENT_AFTER_MS = 2_500;
/** Age beyond which its counts are no evidence for a success. */
const EVIDENCE_AGE_MS = 5_000;

interface ReceivedRows {
  readonly rows: readonly CountRow[];
  readonly atMs: number;
}

/** Counts of one rollout. */
interface Collected {
  readonly targetVersion: string;
  /** By daemon of the own data centre. */
  readonly gates: Map<string, ReceivedRows>;
  /** By other data centre. */
  readonly sums: Map<string, ReceivedRows>;
  sentAtMs: number;
  sumSentAtMs: number;
  sumsSent: number;
}

export function createRolloutCoordinator(options: RolloutCoordinatorOptions): RolloutCoordinator {
  const { self, records, counts, writer, listPeers, clock, log } = options;
  const collectedByService = new Map<string, Collected>();
  return { receiveCounts, check };

  function receiveCounts(message: Message, isLocal: boolean): void {
    const { service, targetVersion, memberId, dataCentre, rows } = parseCounts(message);
    if (records.getRule(service)?.targetVersion !== targetVersion) return;
    const { gates, sums } = getCollected(service, targetVersion);
    const received = { rows, atMs: clock() };
    if (memberId !== undefined) gates.set(memberId, received);
    else if (dataCentre !== self.dataCentre) sums.set(dataCentre, received);
    if (memberId !== undefined || isLocal) return;
    listLeaders(self, listPeers(), COUNTS_RECEIVERS).forEach((peer) => peer?.sendMessage(message));
  }

  function getCollected(service: string, targetVersion: string): Collected {
    let collected = collectedByService.get(service);
    if (collected?.targetVersion !== targetVersion) {
      const times = { sentAtMs: -Infinity, sumSentAtMs: -Infinity, sumsSent: 0 };
      collected = { targetVersion, gates: new Map(), sums: new Map(), ...times };
      collectedByService.set(service, collected);
    }
    return collected;
  }

  function check(rollout: Rollout): void {
    if (rollout.phase !== RolloutPhase.Running) return;
    const { service, targetVersion } = rollout.order;
    const collected = getCollected(service, targetVersion);
    if (self.service === service) sendCounts(rollout, collected);
    if (!isLeader(self, listPeers(), 1)) return;
    sendSum(rollout, collected);
    settleRollout(rollout, collected);
  }

  function sendCounts({ order }: Rollout, gateCounts: Collected): void {
    const collected = gateCounts;
    const rows = counts.list(order.targetVersion);
    const nowMs = clock();
    const intervalMs = rows.some(({ isTarget }) => isTarget) ? SEND_MS : OTHERS_SEND_MS;
    if (rows.length === 0 || nowMs - collected.sentAtMs < intervalMs) return;
    collected.sentAtMs = nowMs;
    const { service, targetVersion } = order;
    const { id: memberId, dataCentre } = self;
    const message = toCountsMessage({ service, targetVersion, memberId, dataCentre, rows });
    listLeaders(self, listPeers(), COUNTS_RECEIVERS).forEach((peer) => {
      if (peer === undefined) collected.gates.set(memberId, { rows, atMs: nowMs });
      else peer.sendMessage(message);
    });
  }

  function sendSum({ order }: Rollout, dataCentreCounts: Collected): void {
    const collected = dataCentreCounts;
    const nowMs = clock();
    if (nowMs - collected.sumSentAtMs < SEND_MS) return;
    collected.sumSentAtMs = nowMs;
    const { service, targetVersion } = order;
    const { dataCentre } = self;
    const rows = mergeGates(collected);
    const sum = { service, targetVersion, memberId: undefined, dataCentre, rows };
    const message = toCountsMessage(sum);
    listRemoteReceivers(collected.sumsSent).forEach((peer) => peer.sendMessage(message));
    collected.sumsSent += 1;
  }

  /** One daemon of each other data centre, in turns; it passes the sum on to its coordinator. */
  function listRemoteReceivers(turn: number): readonly Peer[] {
    const byDataCentre = new Map<string, Peer[]>();
    listPeers().forEach((peer) => {
      const { dataCentre } = peer.member;
      if (dataCentre === self.dataCentre || !peer.isConnected()) return;
      byDataCentre.set(dataCentre, [...(byDataCentre.get(dataCentre) ?? []), peer]);
    });
    return [...byDataCentre.values()].map((peers) => peers[turn % peers.length] as Peer);
  }

  function mergeGates({ gates }: Collected): readonly CountRow[] {
    return mergeRows([...gates.values()].flatMap(({ rows }) => rows));
  }

  function settleRollout(rollout: Rollout, collected: Collected): void {
    const { order, startedAtMs } = rollout;
    const nowMs = clock();
    const dataCentres = listDataCentres(collected, nowMs, Infinity);
    const verdict = compareVersions(dataCentres);
    const responses = countTargetResponses(listDataCentres(collected, nowMs, EVIDENCE_AGE_MS));
    const remainingMs = startedAtMs + order.durationMs - nowMs;
    const decision = computeDecision({
      verdict,
      responses,
      durationMs: order.durationMs,
      remainingMs,
      hasSilentDataCentre: hasSilentDataCentre(order.service, collected, nowMs),
    });
    if (decision === RolloutDecision.Wait) return;
    const { service, targetVersion } = order;
    const fields = { service, targetVersion, decision, responses, remainingMs, ...verdict };
    if (decision === RolloutDecision.RollBack) {
      log.warn('rollout-decided', fields);
      records.rollBack(order);
    } else {
      log.debug('rollout-decided', fields);
      writer.requestSuccess(order);
    }
  }

  /** The counts of all data centres that are not older than `maxAgeMs`. */
  function listDataCentres(
    collected: Collected,
    nowMs: number,
    maxAgeMs: number,
  ): readonly DataCentreCounts[] {
    const others = [...collected.sums]
      .filter(([, { atMs }]) => nowMs - atMs <= maxAgeMs)
      .map(([dataCentre, { rows }]) => ({ dataCentre, rows }));
    return [{ dataCentre: self.dataCentre, rows: mergeGates(collected) }, ...others];
  }

  /** Whether another data centre with gates of the service has sent no counts recently. */
  function hasSilentDataCentre(service: string, { sums }: Collected, nowMs: number): boolean {
    return listPeers().some(({ member }) => {
      if (member.service !== service || member.dataCentre === self.dataCentre) return false;
      const atMs = sums.get(member.dataCentre)?.atMs ?? -Infinity;
      return nowMs - atMs > SILENT_AFTER_MS;
    });
  }
}

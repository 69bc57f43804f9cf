import { createSeededRandom, createSilentLog } from '@cactusdeal/shared';
import { createMessageReader } from '../CactusdealRelayFrames.js';
import {
  createQuotaExchange,
  QUOTA_TICK_MS,
  type QuotaExchange,
  type QuotaPeer,
  type QuotaReply,
} from '../CactusdealRelayQuotaExchange.js';
import type { Member, OrganisationRule } from '../CactusdealRelayTypes.js';

/** A daemon of the replay. */
export interface FleetDaemon {
  readonly member: Member;
  exchange: QuotaExchange;
  rules: readonly OrganisationRule[];
  /** Whether it runs; one that does not keeps its links open if `isFrozen`. */
  isRunning: boolean;
  isFrozen: boolean;
  wokenAtMs: number;
  /** Time of its next tick without lateness. */
  dueAtMs: number;
  nextTickMs: number;
}

/** Calls of an organisation at one moment. */
export interface Demand {
  readonly rule: OrganisationRule;
  readonly callsPerSecond: (nowMs: number) => number;
  /** Chooses the daemon that gets a call; evenly at random if undefined. */
  readonly pick?: (daemons: readonly FleetDaemon[], nowMs: number) => FleetDaemon;
}

export interface Outcome {
  readonly admittedAtMs: number[];
  readonly refusedAtMs: number[];
}

export interface Fleet {
  readonly daemons: readonly FleetDaemon[];
  /** Whether messages pass between two daemons. */
  isCut: (left: Member, right: Member) => boolean;
  /** Messages sent. */
  messages: number;
  /** Replays until `untilMs`. */
  run(untilMs: number): void;
  getOutcome(name: string): Outcome;
  /** Starts a daemon anew, without what it knew. */
  restart(daemon: FleetDaemon): void;
}

const STEP_MS = 5;
const LATENCY_MS = 3.4;
/** Lateness of a daemon that handles a message. */
const MAX_LATE_MS = 200;
const MAX_TICK_LATE_MS = 50;
const EARLY_RUN_MS = 25;
const MS_PER_SECOND = 1_000;
/** Links of the coordinators to the lowest ids of other data centres. */
const LINKED_IDS = 2;

interface Delivery {
  readonly atMs: number;
  readonly from: FleetDaemon;
  readonly to: FleetDaemon;
  readonly frame: Buffer;
}

/**
 * Replays the exchange of quotas between daemons over virtual time: the exchange itself runs, its links
 * and timers are replaced. Each message is handled up to 200 ms
 * late, each tick up to 50 ms.
 */
export function createFleet(
  sizes: Readonly<Record<string, number>>,
  demands: readonly Demand[],
  seed = 1,
): Fleet {
  const random = createSeededRandom(seed);
  const outcomes = new Map<string, Outcome>();
  const owed = new Map<string, number>();
  const lastAtMs = new Map<string, number>();
  let deliveries: Delivery[] = [];
  let nowMs = 0;
  const rules = demands.map(({ rule }) => rule);
  const daemons: FleetDaemon[] = Object.entries(sizes).flatMap(([dataCentre, size]) =>
    Array.from({ length: size }, (_, index) => createDaemon(dataCentre, index)),
  );
  const fleet: Fleet = {
    daemons,
    isCut: () => false,
    messages: 0,
    run: (untilMs) => {
      while (nowMs < untilMs) runStep();
    },
    getOutcome: (name) => {
      const found = outcomes.get(name) ?? { admittedAtMs: [], refusedAtMs: [] };
      outcomes.set(name, found);
      return found;
    },
    restart: (restarted) => {
      const daemon = restarted;
      daemon.exchange = createExchange(daemon);
    },
  };
  return fleet;

  function createDaemon(dataCentre: string, index: number): FleetDaemon {
    const id = `${dataCentre}-${String(index).padStart(2, '0')}`;
    const daemon: FleetDaemon = {
      member: { id, dataCentre, service: 'records', address: `${id}:1` },
      exchange: undefined as never,
      rules,
      isRunning: true,
      isFrozen: false,
      wokenAtMs: Infinity,
      dueAtMs: random() * QUOTA_TICK_MS,
      nextTickMs: 0,
    };
    daemon.exchange = createExchange(daemon);
    return daemon;
  }

  function createExchange(listed: FleetDaemon): QuotaExchange {
    const daemon = listed;
    return createQuotaExchange({
      self: daemon.member,
      clock: () => nowMs,
      random,
      log: createSilentLog(),
      listPeers: () => listPeers(daemon),
      countHosts: () => daemons.length,
      getRules: () => daemon.rules,
      wake: () => {
        daemon.wokenAtMs = Math.min(daemon.wokenAtMs, nowMs + EARLY_RUN_MS);
      },
    });
  }

  function listPeers(daemon: FleetDaemon): readonly QuotaPeer[] {
    const isLowest = (other: FleetDaemon): boolean => {
      const lower = daemons.filter(
        ({ member, isRunning, isFrozen }) =>
          member.dataCentre === other.member.dataCentre &&
          member.id < other.member.id &&
          (isRunning || isFrozen),
      );
      return lower.length < LINKED_IDS;
    };
    return daemons
      .filter((other) => other !== daemon)
      .filter(
        (other) =>
          other.member.dataCentre === daemon.member.dataCentre ||
          (isLowest(daemon) && isLowest(other)),
      )
      .map((other) => ({
        member: other.member,
        isReachable: () =>
          (other.isRunning || other.isFrozen) && !fleet.isCut(daemon.member, other.member),
        sendQuota: createReply(daemon, other),
      }));
  }

  function createReply(from: FleetDaemon, to: FleetDaemon): QuotaReply {
    return (frame) => {
      if (fleet.isCut(from.member, to.member)) return;
      const key = `${from.member.id}\n${to.member.id}`;
      const late = nowMs + LATENCY_MS + random() * MAX_LATE_MS;
      const atMs = Math.max(lastAtMs.get(key) ?? 0, late);
      lastAtMs.set(key, atMs);
      fleet.messages += 1;
      deliveries.push({ atMs, from, to, frame });
    };
  }

  function runStep(): void {
    nowMs += STEP_MS;
    const due = deliveries.filter(({ atMs }) => atMs <= nowMs);
    deliveries = deliveries.filter(({ atMs }) => atMs > nowMs);
    due.sort((left, right) => left.atMs - right.atMs).forEach(receiveFrame);
    daemons.filter(({ isRunning }) => isRunning).forEach(runTimers);
    demands.forEach(sendCalls);
  }

  function receiveFrame({ from, to, frame }: Delivery): void {
    if (!to.isRunning) return;
    const reader = createMessageReader((message) =>
      to.exchange.receive(from.member, message, createReply(to, from)),
    );
    reader.read(frame);
  }

  function runTimers(timed: FleetDaemon): void {
    const daemon = timed;
    if (daemon.wokenAtMs <= nowMs) {
      daemon.wokenAtMs = Infinity;
      daemon.exchange.runEarly();
    }
    if (daemon.nextTickMs > nowMs) return;
    daemon.exchange.tick();
    daemon.dueAtMs += QUOTA_TICK_MS;
    daemon.nextTickMs = daemon.dueAtMs + random() * MAX_TICK_LATE_MS;
  }

  function sendCalls({ rule, callsPerSecond, pick }: Demand): void {
    let calls = (owed.get(rule.name) ?? 0) + (callsPerSecond(nowMs) * STEP_MS) / MS_PER_SECOND;
    const { admittedAtMs, refusedAtMs } = fleet.getOutcome(rule.name);
    const running = daemons.filter(({ isRunning }) => isRunning);
    for (; calls >= 1; calls -= 1) {
      const daemon = pick?.(running, nowMs) ?? running[Math.floor(random() * running.length)];
      if (daemon === undefined) continue;
      const own = daemon.rules.find(({ name }) => name === rule.name) ?? rule;
      const { isAdmitted } = daemon.exchange.admit(own);
      (isAdmitted ? admittedAtMs : refusedAtMs).push(nowMs);
    }
    owed.set(rule.name, calls);
  }
}

/** The most times within any window of `windowMs`, of those at `fromMs` or later. */
export function countMost(times: readonly number[], windowMs: number, fromMs = 0): number {
  const counted = times.filter((time) => time >= fromMs);
  let start = 0;
  return counted.reduce((most, time, index) => {
    while ((counted[start] as number) <= time - windowMs) start += 1;
    return Math.max(most, index - start + 1);
  }, 0);
}

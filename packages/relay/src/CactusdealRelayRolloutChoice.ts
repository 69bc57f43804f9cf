import type { Clock, Random } from '@cactusdeal/shared';
import { RolloutPhase, type VersionRule } from './CactusdealRelayRolloutTypes.js';
import type { AttemptEnd, GateReport } from './CactusdealRelayTypes.js';

/** Version of an upstream's software; undefined if it names none. */
type Version = string | undefined;

/** Whether a gate's version may get the call. */
export type VersionFilter = (version: Version) => boolean;

/** A gate as far as the choice of a version depends on it. */
export type GateVersion = Pick<GateReport, 'open' | 'softwareVersion'>;

/** Picks the version that a call goes to, before the gate is chosen. */
export interface VersionChoice {
  /** Handles a gate's report. */
  observeReport(report: GateReport): void;
  /**
   * Lists the filters to choose a gate by, in order, until one leaves a gate; undefined if every gate
   * may be chosen. `listGates` lists all known gates of the service.
   */
  listFilters(
    service: string,
    isFirstAttempt: boolean,
    listGates: () => readonly GateVersion[],
  ): readonly VersionFilter[] | undefined;
  /** Records that a gate was chosen for an attempt. */
  recordChoice(report: GateReport): void;
  /** Records how an attempt ended. */
  recordEnd(report: GateReport, end: AttemptEnd): void;
}

export interface VersionChoiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly getRule: (service: string) => VersionRule | undefined;
  /** Called with each call that is sent to the target of a running rollout. */
  readonly recordExposure: (service: string) => void;
}

/**
 * Calls sent to the target for each call that another version has taken. It is well below the tenth that
 * operators allow, as retries and calls that end early count there too.
 */
const TARGET_SHARE = 0.06;
/**
 * How long a version that appears beside others gets no calls without an order: the order may be on its
 * way. After that it is an ordinary replacement.
 */
const HOLD_MS = 30_000;
/** Versions that a daemon learns of within this time of its start may all have been there before. */
const SETTLE_MS = 3_000;
/** Time without an open gate of a version in force after which calls go to versions that are not. */
const ABSENCE_MS = 1_000;
/** How long the versions of the open gates are remembered, so that not each call lists all gates. */
const TIER_MEMORY_MS = 20;

/** How much a version is wanted; the lowest that an open gate has gets the calls. */
const Tier = { InForce: 0, Usable: 1, Held: 2, Rejected: 3 } as const;
type Tier = (typeof Tier)[keyof typeof Tier];

interface ServiceVersions {
  /** When each version was first seen while others were known; absent if it was never held. */
  readonly heldSinceMs: Map<string, number>;
  readonly established: Set<string>;
  usableSeenAtMs: number;
  /** The lowest tier that an open gate had at `tierAtMs` under `tierRule`. */
  tier: Tier | undefined;
  tierAtMs: number;
  tierRule: VersionRule | undefined;
  /** Calls that the target may get now; below 1 for none. */
  credit: number;
  creditedTarget: string | undefined;
}

/**
 * Load pattern: upstreams of a new version start beside the old ones, idle and thus attractive, while
 * many entries choose gates on their own. Each entry sends the new version a fixed share of what the old
 * ones have taken, from a random phase, so that the sum over all entries keeps to the share as well.
 */
export function createVersionChoice(options: VersionChoiceOptions): VersionChoice {
  const { clock, random, getRule, recordExposure } = options;
  const startedAtMs = clock();
  const services = new Map<string, ServiceVersions>();
  return { observeReport, listFilters, recordChoice, recordEnd };

  function getVersions(service: string): ServiceVersions {
    let versions = services.get(service);
    if (versions === undefined) {
      versions = {
        heldSinceMs: new Map(),
        established: new Set(),
        usableSeenAtMs: startedAtMs,
        tier: undefined,
        tierAtMs: -Infinity,
        tierRule: undefined,
        credit: 0,
        creditedTarget: undefined,
      };
      services.set(service, versions);
    }
    return versions;
  }

  function observeReport({ service, open, softwareVersion }: GateReport): void {
    if (!open || softwareVersion === undefined) return;
    const { established, heldSinceMs } = getVersions(service);
    if (established.has(softwareVersion) || heldSinceMs.has(softwareVersion)) return;
    const isFirst = established.size === 0 || clock() - startedAtMs < SETTLE_MS;
    if (isFirst) established.add(softwareVersion);
    else heldSinceMs.set(softwareVersion, clock());
  }

  function listFilters(
    service: string,
    isFirstAttempt: boolean,
    listGates: () => readonly GateVersion[],
  ): readonly VersionFilter[] | undefined {
    const rule = getRule(service);
    const versions = services.get(service);
    if (rule === undefined && (versions === undefined || versions.heldSinceMs.size === 0))
      return undefined;
    const known = versions ?? getVersions(service);
    if (rule === undefined) updateHolds(known);
    const filters: VersionFilter[] = [];
    if (rule !== undefined && isFirstAttempt && isTargetDue(known, rule))
      filters.push((version) => version === rule.targetVersion);
    const tier = findTier(known, rule, listGates);
    if (tier !== undefined) filters.push((version) => computeTier(known, rule, version) === tier);
    return filters;
  }

  /** Whether the next call goes to the target of a running rollout. */
  function isTargetDue(versions: ServiceVersions, { phase, targetVersion }: VersionRule): boolean {
    if (phase !== RolloutPhase.Running) return false;
    startCredit(versions, targetVersion);
    return versions.credit >= 1;
  }

  /** The lowest tier that an open gate has; undefined while those in force may only be unknown yet. */
  function findTier(
    serviceVersions: ServiceVersions,
    rule: VersionRule | undefined,
    listGates: () => readonly GateVersion[],
  ): Tier | undefined {
    const versions = serviceVersions;
    const nowMs = clock();
    if (versions.tierRule !== rule || nowMs - versions.tierAtMs >= TIER_MEMORY_MS) {
      versions.tier = findLowestTier(versions, rule, listGates());
      versions.tierRule = rule;
      versions.tierAtMs = nowMs;
    }
    if (versions.tier !== undefined && versions.tier <= Tier.Usable)
      versions.usableSeenAtMs = nowMs;
    else if (nowMs - versions.usableSeenAtMs < ABSENCE_MS) return undefined;
    return versions.tier;
  }

  function findLowestTier(
    versions: ServiceVersions,
    rule: VersionRule | undefined,
    gates: readonly GateVersion[],
  ): Tier | undefined {
    const tiers = gates
      .filter(({ open }) => open)
      .map(({ softwareVersion }) => computeTier(versions, rule, softwareVersion));
    return tiers.length === 0 ? undefined : (Math.min(...tiers) as Tier);
  }

  function computeTier(
    versions: ServiceVersions,
    rule: VersionRule | undefined,
    version: Version,
  ): Tier {
    if (rule !== undefined) {
      if (version === rule.targetVersion)
        return rule.phase === RolloutPhase.Succeeded ? Tier.InForce : Tier.Rejected;
      if (version !== undefined && rule.rejectedVersions.has(version)) return Tier.Rejected;
      if (rule.phase === RolloutPhase.Succeeded) return Tier.Usable;
      if (version !== undefined && version === rule.versionInForce) return Tier.InForce;
    }
    return version !== undefined && versions.heldSinceMs.has(version) ? Tier.Held : Tier.Usable;
  }

  /** Without an order a version is held for a time, with one until an order names it. */
  function updateHolds({ heldSinceMs, established }: ServiceVersions): void {
    heldSinceMs.forEach((sinceMs, version) => {
      if (clock() - sinceMs < HOLD_MS) return;
      heldSinceMs.delete(version);
      established.add(version);
    });
  }

  /** Starts at a random phase, so that the first calls of many entries do not reach the target at once. */
  function startCredit(serviceVersions: ServiceVersions, targetVersion: string): void {
    const versions = serviceVersions;
    if (versions.creditedTarget === targetVersion) return;
    versions.creditedTarget = targetVersion;
    versions.credit = random();
  }

  function recordChoice({ service, softwareVersion }: GateReport): void {
    if (getRunningTarget(service) !== softwareVersion || softwareVersion === undefined) return;
    getVersions(service).credit -= 1;
    recordExposure(service);
  }

  function recordEnd({ service, softwareVersion }: GateReport, end: AttemptEnd): void {
    const target = getRunningTarget(service);
    if (target === undefined || target === softwareVersion) return;
    if (end.type === 'not-run' && !end.reachedUpstream) return;
    const versions = getVersions(service);
    startCredit(versions, target);
    versions.credit = Math.min(1, versions.credit + TARGET_SHARE);
  }

  function getRunningTarget(service: string): string | undefined {
    const rule = getRule(service);
    return rule?.phase === RolloutPhase.Running ? rule.targetVersion : undefined;
  }
}

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createVersionChoice, type VersionChoice } from '../../CactusdealRelayRolloutChoice.js';
import { RolloutPhase, type VersionRule } from '../../CactusdealRelayRolloutTypes.js';
import type { AttemptEnd, GateReport } from '../../CactusdealRelayTypes.js';
import { buildGateView } from '../CactusdealRelayFixtures.js';

const SERVICE = 'records';
const { Ordered, Running, Succeeded, RolledBack } = RolloutPhase;

function buildRule(phase: RolloutPhase, changes: Partial<VersionRule> = {}): VersionRule {
  const rule = { targetVersion: 'v2', phase, versionInForce: undefined };
  return { ...rule, rejectedVersions: new Set(), ...changes };
}

const buildReport = (softwareVersion: string | undefined, open = true): GateReport =>
  buildGateView({ report: { softwareVersion, open } }).report;

interface Case {
  readonly name: string;
  readonly rule: VersionRule | undefined;
  /** Versions of open gates when the daemon starts. */
  readonly first: readonly (string | undefined)[];
  /** Versions of gates that open `afterMs` later. */
  readonly later?: readonly string[];
  readonly closed?: readonly string[];
  /** Time from then to the call. */
  readonly waitMs?: number;
  readonly used: readonly (string | undefined)[];
}

const BEFORE_LATER_MS = 10_000;

const cases: readonly Case[] = [
  {
    name: 'all versions without an order',
    rule: undefined,
    first: ['v1', 'v2'],
    used: ['v1', 'v2'],
  },
  {
    name: 'no new version at first, as its order may be on the way',
    rule: undefined,
    first: ['v1'],
    later: ['v2'],
    used: ['v1'],
  },
  {
    name: 'a replacement without an order after a while',
    rule: undefined,
    first: ['v1'],
    later: ['v2'],
    waitMs: 30_000,
    used: ['v1', 'v2'],
  },
  {
    name: 'a new version at once that takes the place of all others',
    rule: undefined,
    first: ['v1'],
    closed: ['v1'],
    later: ['v2'],
    waitMs: 1_000,
    used: ['v2'],
  },
  {
    name: 'no target before its status is known',
    rule: buildRule(Ordered),
    first: [undefined, 'v1', 'v2'],
    used: [undefined, 'v1'],
  },
  {
    name: 'no target beyond its share',
    rule: buildRule(Running),
    first: ['v1', 'v2'],
    used: ['v1'],
  },
  {
    name: 'no target beyond its share while the others close',
    rule: buildRule(Running),
    first: ['v2', 'v1'],
    closed: ['v1'],
    used: [],
  },
  {
    name: 'the target if there has been no other for a while',
    rule: buildRule(Running),
    first: ['v2', 'v1'],
    closed: ['v1'],
    waitMs: 1_000,
    used: ['v2'],
  },
  {
    name: 'only the target after a success',
    rule: buildRule(Succeeded),
    first: ['v1', 'v2'],
    used: ['v2'],
  },
  {
    name: 'others after a success without the target',
    rule: buildRule(Succeeded),
    first: ['v1', 'v2'],
    closed: ['v2'],
    used: ['v1'],
  },
  {
    name: 'no target after a rollback',
    rule: buildRule(RolledBack),
    first: ['v1', 'v2'],
    used: ['v1'],
  },
  {
    name: 'no version that no order named',
    rule: buildRule(RolledBack),
    first: ['v1', 'v2'],
    later: ['v3'],
    waitMs: 60_000,
    used: ['v1'],
  },
  {
    name: 'the version of the last success, not those of other orders',
    rule: buildRule(Running, { versionInForce: 'v1', rejectedVersions: new Set(['v0']) }),
    first: ['v0', 'v1', 'v2', 'v9'],
    used: ['v1'],
  },
];

describe('the versions that calls go to', () => {
  cases.forEach(({ name, rule, first, later = [], closed = [], waitMs = 0, used }) => {
    it(name, () => {
      const choice = createChoice(() => rule);
      first.forEach((version) => choice.versions.observeReport(buildReport(version)));
      choice.listUsed(first.map((version) => buildReport(version)));
      choice.advance(BEFORE_LATER_MS);
      const gates = [...first, ...later].map((version) =>
        buildReport(version, version === undefined || !closed.includes(version)),
      );
      gates.forEach((report) => choice.versions.observeReport(report));
      choice.listUsed(first.map((version) => buildReport(version)));
      choice.advance(waitMs);
      assert.deepEqual(choice.listUsed(gates), used);
    });
  });
});

const answered = { type: 'answered' } as AttemptEnd;
const refused = { type: 'not-run', reachedUpstream: false } as AttemptEnd;

describe('the share of the new version', () => {
  [
    {
      name: 'is six calls for each hundred of the old one',
      calls: 1_000,
      end: answered,
      least: 55,
      most: 61,
    },
    {
      name: 'does not grow with calls that the old one refuses',
      calls: 1_000,
      end: refused,
      least: 0,
      most: 1,
    },
  ].forEach(({ name, calls, end, least, most }) => {
    it(name, () => {
      const { versions } = createChoice(() => buildRule(Running));
      const gates = [buildReport('v1'), buildReport('v2')];
      let exposed = 0;
      for (let call = 0; call < calls; call += 1) {
        const [accepts = () => false] = versions.listFilters(SERVICE, true, () => gates) ?? [];
        const gate = gates.find(({ softwareVersion }) => accepts(softwareVersion)) as GateReport;
        if (gate.softwareVersion === 'v2') exposed += 1;
        versions.recordChoice(gate);
        versions.recordEnd(gate, end);
      }
      assert.ok(exposed >= least && exposed <= most, `${exposed} calls`);
    });
  });

  it('is not used by further attempts of a call', () => {
    const { versions } = createChoice(() => buildRule(Running));
    const gates = [buildReport('v1'), buildReport('v2')];
    for (let call = 0; call < 50; call += 1) versions.recordEnd(buildReport('v1'), answered);
    const filters = versions.listFilters(SERVICE, false, () => gates) ?? [];
    assert.deepEqual(
      filters.map((accepts) => accepts('v2')),
      [false],
    );
  });
});

interface TestChoice {
  readonly versions: VersionChoice;
  readonly advance: (durationMs: number) => void;
  /** Versions of the gates that a call may go to. */
  readonly listUsed: (gates: readonly GateReport[]) => readonly (string | undefined)[];
}

function createChoice(getRule: () => VersionRule | undefined): TestChoice {
  let nowMs = 0;
  const versions = createVersionChoice({
    clock: () => nowMs,
    random: () => 0,
    getRule,
    recordExposure: () => {},
  });
  return {
    versions,
    advance: (durationMs) => {
      // Longer than the time for which the choice remembers the versions of the open gates.
      nowMs += Math.max(durationMs, 50);
    },
    listUsed: (gates) => {
      const filters = versions.listFilters(SERVICE, false, () => gates) ?? [() => true];
      return gates
        .filter(({ open }) => open)
        .map(({ softwareVersion }) => softwareVersion)
        .filter((version) => filters.some((accepts) => accepts(version)));
    },
  };
}

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type ChoiceInput, chooseGate, type GateView } from '../../CactusdealRelayBalancer.js';
import { buildGateView } from '../CactusdealRelayFixtures.js';

interface Case {
  readonly name: string;
  readonly gates: readonly PlacedGate[];
  readonly input?: Partial<ChoiceInput>;
  /** Member id of the chosen gate, or why there is none. */
  readonly expected: string;
}

type Changes = Parameters<typeof buildGateView>[0];

/** A gate and whether it is in the own data centre. */
interface PlacedGate {
  readonly view: GateView;
  readonly isLocal: boolean;
}

const near = (changes: Changes = {}): PlacedGate => ({
  view: buildGateView({ memberId: 'near', ...changes }),
  isLocal: true,
});
const far = (changes: Changes = {}): PlacedGate => ({
  view: buildGateView({ memberId: 'far', ...changes }),
  isLocal: false,
});

const cases: readonly Case[] = [
  { name: 'chooses none if there are no gates', gates: [], expected: 'none' },
  {
    name: 'skips a gate that has just refused a similar call',
    gates: [near({ refusal: { atMs: -10, targetMs: 500 } })],
    expected: 'busy',
  },
  {
    name: 'chooses a remote gate if the local one has just refused a similar call',
    gates: [near({ refusal: { atMs: -10, targetMs: 500 } }), far()],
    expected: 'far',
  },
  {
    name: 'chooses a gate again some time after a refusal',
    gates: [near({ refusal: { atMs: -30, targetMs: 500 } })],
    expected: 'near',
  },
  {
    name: 'chooses a gate that refused a call with less time left',
    gates: [near({ refusal: { atMs: -10, targetMs: 300 } })],
    expected: 'near',
  },
  {
    name: 'prefers the own gate to a slightly faster one',
    gates: [near({ report: { serviceMs: 105 }, isOwn: true }), near({ memberId: 'other' })],
    expected: 'near',
  },
  { name: 'prefers a local gate', gates: [far(), near()], expected: 'near' },
  {
    name: 'prefers a local gate to a somewhat faster remote one',
    gates: [near({ report: { serviceMs: 300 } }), far({ report: { serviceMs: 100 } })],
    expected: 'near',
  },
  {
    name: 'chooses a faster remote gate for an urgent call that would come close to its target',
    gates: [near({ report: { serviceMs: 300 } }), far({ report: { serviceMs: 100 } })],
    input: { priority: 0 },
    expected: 'far',
  },
  {
    name: 'chooses a remote gate if the local one would answer late',
    gates: [near({ report: { load: 60 } }), far()],
    expected: 'far',
  },
  {
    name: 'chooses the local gate if all would answer late and it is faster',
    gates: [near({ report: { load: 60 } }), far({ report: { load: 90 } })],
    expected: 'near',
  },
  {
    name: 'skips a closed gate',
    gates: [near({ report: { open: false } }), far()],
    expected: 'far',
  },
  {
    name: 'skips a gate that has had the call already',
    gates: [near(), far()],
    input: { tried: new Set(['near']) },
    expected: 'far',
  },
  {
    name: 'skips an avoided gate',
    gates: [near({ avoidedUntilMs: 1 }), far()],
    expected: 'far',
  },
  {
    name: 'counts the calls that it has sent since the last report',
    gates: [near({ unreportedCalls: 60 }), far()],
    expected: 'far',
  },
  {
    name: 'skips a gate whose upstream fails most calls',
    gates: [near({ report: { failureRate: 1 } }), near({ memberId: 'sound' })],
    expected: 'sound',
  },
  {
    name: 'skips a gate whose upstream is fast because it fails',
    gates: [near({ report: { failureRate: 0.6, serviceMs: 5 } }), near({ memberId: 'sound' })],
    expected: 'sound',
  },
  {
    name: 'skips a gate whose upstream is warming up',
    gates: [near({ isWarmingUp: true }), near({ memberId: 'warm' })],
    expected: 'warm',
  },
  {
    name: 'chooses a gate whose upstream is warming up if the other one has a queue',
    gates: [near({ isWarmingUp: true }), near({ memberId: 'warm', report: { load: 40 } })],
    expected: 'near',
  },
  {
    name: 'chooses the gate that is known to be free of two with the same reports',
    gates: [
      near({ report: { load: 4 }, reportedAtMs: -2_000 }),
      near({ memberId: 'known', report: { load: 0 }, isOwn: true }),
    ],
    expected: 'known',
  },
  {
    name: 'tries a gate again that was full 2 s ago',
    gates: [
      near({ report: { load: 8 }, reportedAtMs: -2_000 }),
      near({ memberId: 'known', report: { load: 8 } }),
    ],
    expected: 'near',
  },
  {
    name: 'prefers a local gate that would refuse the call soon to none',
    gates: [near({ report: { load: 45 } })],
    expected: 'near',
  },
  {
    name: 'chooses a remote gate if calls wait so long at the local one that it would refuse the call',
    gates: [near({ report: { load: 45 } }), far()],
    expected: 'far',
  },
  {
    name: 'chooses a remote gate sooner after a refusal',
    gates: [near({ report: { load: 25 } }), far()],
    input: { tried: new Set(['other']) },
    expected: 'far',
  },
  {
    name: 'keeps a call in the data centre while its gates answer in time',
    gates: [near({ report: { load: 25 } }), far()],
    expected: 'near',
  },
  {
    name: 'skips a gate whose daemon is slow though its upstream is not',
    gates: [near({ overheadMs: 400 }), near({ memberId: 'quick' })],
    expected: 'quick',
  },
  {
    name: 'chooses the faster of two local gates',
    gates: [near({ report: { serviceMs: 300 } }), near({ memberId: 'fast' })],
    expected: 'fast',
  },
];

describe('choice of a gate', () => {
  cases.forEach(({ name, gates, input, expected }) => {
    it(name, () => {
      const chosen = chooseGate({
        listGates: (isLocal) =>
          gates.filter((gate) => gate.isLocal === isLocal).map(({ view }) => view),
        tried: new Set(),
        priority: 1,
        targetMs: 500,
        nowMs: 0,
        random: () => 0,
        ...input,
      });
      assert.equal(chosen.type === 'gate' ? chosen.gate.memberId : chosen.type, expected);
    });
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type ChoiceInput, chooseGate, type GateView } from '../../CactusdealRelayBalancer.js';
import { buildGateView } from '../CactusdealRelayFixtures.js';

interface Case {
  readonly name: string;
  readonly gates: readonly Placed[];
  readonly input?: Partial<ChoiceInput>;
  /** Id of the gate, or why there is none. */
  readonly expected: string;
}

type Changes = Parameters<typeof buildGateView>[0];

/** A gate and whether it is in the own data centre. */
interface Placed {
  readonly view: GateView;
  readonly isLocal: boolean;
}

const near = (changes: Changes = {}): Placed => ({
  view: buildGateView({ memberId: 'near', ...changes }),
  isLocal: true,
});
const far = (changes: Changes = {}): Placed => ({
  view: buildGateView({ memberId: 'far', ...changes }),
  isLocal: false,
});

const cases: readonly Case[] = [
  { name: 'takes none when there is none', gates: [], expected: 'none' },
  {
    name: 'asks none again that refused the like a moment ago',
    gates: [near({ refusal: { atMs: -10, targetMs: 500 } })],
    expected: 'busy',
  },
  {
    name: 'leaves when its data centre refused the like a moment ago',
    gates: [near({ refusal: { atMs: -10, targetMs: 500 } }), far()],
    expected: 'far',
  },
  {
    name: 'asks again after a while',
    gates: [near({ refusal: { atMs: -30, targetMs: 500 } })],
    expected: 'near',
  },
  {
    name: 'asks for a call that has more time than the refused one had',
    gates: [near({ refusal: { atMs: -10, targetMs: 300 } })],
    expected: 'near',
  },
  {
    name: 'prefers its own gate to one that is little faster',
    gates: [near({ report: { serviceMs: 105 }, isOwn: true }), near({ memberId: 'other' })],
    expected: 'near',
  },
  { name: 'stays in its data centre', gates: [far(), near()], expected: 'near' },
  {
    name: 'stays though another data centre is somewhat faster',
    gates: [near({ report: { serviceMs: 300 } }), far({ report: { serviceMs: 100 } })],
    expected: 'near',
  },
  {
    name: 'leaves for urgent work that would come close to its target',
    gates: [near({ report: { serviceMs: 300 } }), far({ report: { serviceMs: 100 } })],
    input: { priority: 0 },
    expected: 'far',
  },
  {
    name: 'leaves when the own data centre would be late',
    gates: [near({ report: { load: 60 } }), far()],
    expected: 'far',
  },
  {
    name: 'stays when all would be late and the own is sooner',
    gates: [near({ report: { load: 60 } }), far({ report: { load: 90 } })],
    expected: 'near',
  },
  {
    name: 'passes over a closed gate',
    gates: [near({ report: { open: false } }), far()],
    expected: 'far',
  },
  {
    name: 'passes over a gate that the call has been at',
    gates: [near(), far()],
    input: { tried: new Set(['near']) },
    expected: 'far',
  },
  {
    name: 'passes over an avoided gate',
    gates: [near({ avoidedUntilMs: 1 }), far()],
    expected: 'far',
  },
  {
    name: 'counts what it sent since the last report',
    gates: [near({ unreportedCalls: 60 }), far()],
    expected: 'far',
  },
  {
    name: 'passes over a gate whose upstream fails most calls',
    gates: [near({ report: { failureRate: 1 } }), near({ memberId: 'sound' })],
    expected: 'sound',
  },
  {
    name: 'passes over a gate whose daemon is slow though its upstream is not',
    gates: [near({ overheadMs: 400 }), near({ memberId: 'quick' })],
    expected: 'quick',
  },
  {
    name: 'takes the faster of two in one data centre',
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

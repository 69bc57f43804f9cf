import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseLinks, type LinkCandidate, LinkState } from '../../CactusdealRelayLinkPlan.js';
import type { Member } from '../../CactusdealRelayTypes.js';

const DATA_CENTRES = ['centro', 'este', 'norte', 'oeste', 'sur', 'valle'];
const GATES_BY_SERVICE = { registro: 14, pedidos: 11, fotos: 5, quejas: 2 };

/** A fleet of six data centres with 32 gates of four services each. */
const fleet: readonly Member[] = DATA_CENTRES.flatMap((dataCentre) =>
  Object.entries(GATES_BY_SERVICE).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, index) => {
      const id = `${dataCentre}-${service}-${index}`;
      return { id, dataCentre, service, address: `${id}:1` };
    }),
  ),
);

type StateOf = (member: Member) => LinkState;

const withoutLinks: StateOf = () => LinkState.None;

function listCandidates(self: Member, stateOf: StateOf): readonly LinkCandidate[] {
  return fleet
    .filter(({ id }) => id !== self.id)
    .map((member) => ({ member, state: stateOf(member) }));
}

function choose(self: Member, stateOf: StateOf = withoutLinks): ReadonlySet<string> {
  return chooseLinks(self, listCandidates(self, stateOf));
}

const [self] = fleet as [Member];
const firstChoice = choose(self);
const isRemote = (member: Member): boolean => member.dataCentre !== self.dataCentre;
const listIn = (chosen: ReadonlySet<string>, dataCentre: string, service: string): Member[] =>
  fleet.filter(
    (member) =>
      chosen.has(member.id) && member.dataCentre === dataCentre && member.service === service,
  );

interface Case {
  readonly name: string;
  readonly stateOf: StateOf;
  /** Gates of `fotos` in `sur` to which the links are kept or opened. */
  readonly expected: (gates: readonly Member[]) => boolean;
}

const chosenInSur = listIn(firstChoice, 'sur', 'fotos').map(({ id }) => id);

const cases: readonly Case[] = [
  {
    name: 'three gates without links yet',
    stateOf: withoutLinks,
    expected: (gates) => gates.length === 3,
  },
  {
    name: 'the same gates once their links are usable',
    stateOf: ({ id }) => (firstChoice.has(id) ? LinkState.Usable : LinkState.None),
    expected: (gates) => gates.map(({ id }) => id).join() === chosenInSur.join(),
  },
  {
    name: 'the link that is open in place of a better-ranked newcomer',
    stateOf: ({ id }) => (chosenInSur.includes(id) ? LinkState.None : LinkState.Usable),
    expected: (gates) => gates.filter(({ id }) => !chosenInSur.includes(id)).length === 2,
  },
  {
    name: 'another gate beside each that cannot be connected to',
    stateOf: ({ id }) => (chosenInSur[0] === id ? LinkState.Failing : LinkState.None),
    expected: (gates) => gates.length === 4,
  },
  {
    name: 'another gate beside each whose version has been replaced',
    stateOf: ({ id }) => (chosenInSur.includes(id) ? LinkState.Replaced : LinkState.None),
    expected: (gates) => gates.length === 5,
  },
  {
    name: 'three of the gates of a data centre that is cut off',
    stateOf: ({ dataCentre }) => (dataCentre === 'sur' ? LinkState.Failing : LinkState.None),
    expected: (gates) => gates.length === 3,
  },
];

describe('links of a daemon in a fleet of 192', () => {
  cases.forEach(({ name, stateOf, expected }) => {
    it(`lead to ${name}`, () => {
      const gates = listIn(choose(self, stateOf), 'sur', 'fotos');
      assert.ok(expected(gates), gates.map(({ id }) => id).join());
    });
  });

  it('lead to all of its own data centre and to a few of each other', () => {
    const local = fleet.filter((member) => !isRemote(member) && member.id !== self.id);
    assert.deepEqual(
      local.filter(({ id }) => !firstChoice.has(id)),
      [],
    );
    assert.equal(firstChoice.size, local.length + 5 * (3 + 3 + 3 + 2));
  });

  it('are spread over all gates', () => {
    const countById = new Map<string, number>();
    fleet.forEach((member) => {
      choose(member).forEach((id) => countById.set(id, (countById.get(id) ?? 0) + 1));
    });
    const remoteCounts = fleet
      .filter(({ service }) => service === 'registro')
      .map(({ id }) => (countById.get(id) ?? 0) - 31);
    // 160 daemons of other data centres choose 3 of 14 each: 34 a gate.
    assert.ok(Math.min(...remoteCounts) > 15, remoteCounts.join());
    assert.ok(Math.max(...remoteCounts) < 60, remoteCounts.join());
  });
});

describe('the links of the fleet', () => {
  it('lead from each daemon to each other one over one daemon at most', () => {
    const linkedIds = new Map<string, Set<string>>(fleet.map(({ id }) => [id, new Set()]));
    fleet.forEach((member) => {
      choose(member).forEach((id) => {
        linkedIds.get(member.id)?.add(id);
        linkedIds.get(id)?.add(member.id);
      });
    });
    const isNear = (from: string, to: string): boolean => {
      const linked = linkedIds.get(from) as Set<string>;
      return from === to || linked.has(to) || [...linked].some((id) => linkedIds.get(id)?.has(to));
    };
    const ids = [...linkedIds.keys()];
    const far = ids.flatMap((from) => ids.filter((to) => !isNear(from, to)));
    assert.equal(far.length, 0);
  });
});

describe('the links of a daemon while organisations have quotas', () => {
  const listAdded = (member: Member): readonly string[] => {
    const candidates = listCandidates(member, withoutLinks);
    const usual = chooseLinks(member, candidates);
    return [...chooseLinks(member, candidates, true)].filter((id) => !usual.has(id));
  };
  const isLowest = ({ id }: Member): boolean => /-fotos-[01]$/.test(id);

  it('lead from the two lowest ids of a data centre to those of each other, and from no other id', () => {
    const lowestIds = fleet.filter(isLowest).map(({ id }) => id);
    fleet.forEach((member) => {
      const added = listAdded(member);
      if (!isLowest(member)) assert.deepEqual(added, []);
      const chosen = chooseLinks(member, listCandidates(member, withoutLinks), true);
      const missing = lowestIds.filter((id) => id !== member.id && !chosen.has(id));
      if (isLowest(member)) assert.deepEqual(missing, []);
      assert.ok(added.every((id) => lowestIds.includes(id)));
    });
  });

  it('lead to the next lowest id in place of one that cannot be connected to', () => {
    const [caller] = fleet.filter(isLowest) as [Member];
    const failing: StateOf = ({ id }) =>
      id === 'sur-fotos-0' ? LinkState.Failing : LinkState.None;
    const chosen = chooseLinks(caller, listCandidates(caller, failing), true);
    assert.ok(chosen.has('sur-fotos-1') && chosen.has('sur-fotos-2'));
  });
});

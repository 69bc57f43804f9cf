import type { Clock, Random } from '@cactusdeal/shared';
import {
  computeCost,
  createGateState,
  type GateSign,
  type GateState,
  getLatency,
  isOpen,
  recordSign,
} from './CactusdealTrafficGateState.js';
import type { CompiledRoute } from './CactusdealTrafficRouteTable.js';
import type { Directory, Gate } from './CactusdealTrafficTypes.js';
import { chooseDataCentres } from './CactusdealTrafficWeights.js';

/** A gate that was chosen for one attempt; `finish` is called once, when the attempt has ended. */
export interface Choice {
  readonly gate: Gate;
  /** Recent latency of the gate in milliseconds; undefined while unknown. */
  readonly latencyMs: number | undefined;
  finish(sign: GateSign, latencyMs: number): void;
}

/** Chooses gates by what calls observe. */
export interface Balancer {
  /** The gate for the next attempt, none of `tried` (member ids); undefined when there is none. */
  choose(route: CompiledRoute, tried: ReadonlySet<string>): Choice | undefined;
  /** Tells whether a gate gets no calls for now because it failed. */
  isEjected(memberId: string): boolean;
}

/** What the balancer works with. */
export interface BalancerParts {
  readonly directory: Directory;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  /** The gate in this process, which is preferred while it has a free slot: that saves a hop. */
  readonly ownGate?: { readonly memberId: string; isFree(): boolean };
}

/** Largest part of a service's gates that may be ejected together. */
const MAX_EJECTED_PART = 0.5;
const MAX_STATES = 4096;

/** Creates a balancer that has seen nothing yet. */
export function createBalancer(parts: BalancerParts): Balancer {
  const states = new Map<string, GateState>();
  return { choose, isEjected };

  function choose(route: CompiledRoute, tried: ReadonlySet<string>): Choice | undefined {
    const { service } = route.route;
    const groups = collectGates(parts, service);
    const order = listGroups(groups, route);
    const untried = order.map((gates) => gates.filter((gate) => !tried.has(gate.memberId)));
    const nowMs = parts.clock();
    const className = route.route.class;
    for (const gates of untried) {
      const open = gates.filter((one) => isOpen(getState(one), className, nowMs));
      const gate = findFreeOwn(open) ?? pickOfTwo(open);
      if (gate !== undefined) return openChoice(route, gate);
    }
    // No gate is expected to take the call, so that only asking one can tell.
    const gate = untried.map((gates) => pickOfTwo(gates)).find((one) => one !== undefined);
    return gate === undefined ? undefined : openChoice(route, gate);
  }

  function listGroups(
    groups: ReadonlyMap<string, readonly Gate[]>,
    route: CompiledRoute,
  ): (readonly Gate[])[] {
    const shares = [...groups.keys()].map((dataCentre) => ({
      dataCentre,
      weight: route.weights[dataCentre] ?? 1,
    }));
    const order = chooseDataCentres(shares, parts.dataCentre, parts.random);
    return order.map((dataCentre) => groups.get(dataCentre) ?? []);
  }

  function findFreeOwn(gates: readonly Gate[]): Gate | undefined {
    const { ownGate } = parts;
    if (ownGate === undefined || !ownGate.isFree()) return undefined;
    return gates.find((gate) => gate.memberId === ownGate.memberId);
  }

  /** Power of two choices (Mitzenmacher 2001) over the expected cost. */
  function pickOfTwo(gates: readonly Gate[]): Gate | undefined {
    if (gates.length <= 1) return gates[0];
    const first = Math.floor(parts.random() * gates.length);
    const second = (first + 1 + Math.floor(parts.random() * (gates.length - 1))) % gates.length;
    const left = gates[first] as Gate;
    const right = gates[second] as Gate;
    const nowMs = parts.clock();
    const leftLatencyMs = getLatency(getState(left), nowMs) ?? 0;
    const rightLatencyMs = getLatency(getState(right), nowMs) ?? 0;
    const leftCost = computeCost(getState(left), left.slots, rightLatencyMs, nowMs);
    const rightCost = computeCost(getState(right), right.slots, leftLatencyMs, nowMs);
    return leftCost <= rightCost ? left : right;
  }

  function openChoice(route: CompiledRoute, gate: Gate): Choice {
    const state = getState(gate);
    const className = route.route.class;
    state.inFlight += 1;
    return {
      gate,
      latencyMs: getLatency(state, parts.clock()),
      finish: (sign, latencyMs) => {
        state.inFlight -= 1;
        const seen = { className, latencyMs, nowMs: parts.clock() };
        recordSign(state, sign, seen, () => shouldEject(route.route.service));
      },
    };
  }

  /** Whether one more gate of the service may be ejected. */
  function shouldEject(service: string): boolean {
    const gates = [...parts.directory.findLocal(service), ...parts.directory.findRemote(service)];
    const ejected = gates.filter((gate) => isEjected(gate.memberId)).length;
    return ejected + 1 <= gates.length * MAX_EJECTED_PART;
  }

  function isEjected(memberId: string): boolean {
    return (states.get(memberId)?.ejectedUntilMs ?? 0) > parts.clock();
  }

  /** The state of a gate, begun anew when its upstream became ready again. */
  function getState(gate: Gate): GateState {
    const known = states.get(gate.memberId);
    if (known !== undefined && known.readyAtMs === gate.readyAtMs) return known;
    if (states.size >= MAX_STATES) discardIdle();
    const state = createGateState(gate, parts.clock());
    states.set(gate.memberId, state);
    return state;
  }

  function discardIdle(): void {
    for (const [memberId, state] of states) if (state.inFlight === 0) states.delete(memberId);
  }
}

/** The gates of a service by data centre; the local one is present only when it has a gate. */
function collectGates(parts: BalancerParts, service: string): Map<string, readonly Gate[]> {
  const groups = new Map<string, Gate[]>();
  const local = parts.directory.findLocal(service);
  if (local.length > 0) groups.set(parts.dataCentre, [...local]);
  for (const gate of parts.directory.findRemote(service)) {
    const group = groups.get(gate.dataCentre);
    if (group === undefined) groups.set(gate.dataCentre, [gate]);
    else group.push(gate);
  }
  return groups;
}

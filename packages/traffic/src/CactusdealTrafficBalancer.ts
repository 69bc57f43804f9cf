import type { Clock, Random } from '@cactusdeal/shared';
import {
  computeCost,
  createGateState,
  type GateObservation,
  type GateState,
  getLatency,
  isAvailable,
  recordObservation,
} from './CactusdealTrafficGateState.js';
import type { CompiledRoute } from './CactusdealTrafficRouteTable.js';
import type { Directory, Gate } from './CactusdealTrafficTypes.js';
import { chooseDataCentres } from './CactusdealTrafficWeights.js';

/** A gate chosen for one attempt; `finish` must be called once, when the attempt has ended. */
export interface GateChoice {
  readonly gate: Gate;
  /** Recent latency of the gate in milliseconds; undefined before the first response. */
  readonly latencyMs: number | undefined;
  finish(observation: GateObservation, latencyMs: number): void;
}

/** Balances calls over the gates of a service by the results of earlier attempts. */
export interface Balancer {
  /** Chooses a gate whose member id is not in `triedGates`; undefined if there is none. */
  choose(route: CompiledRoute, triedGates: ReadonlySet<string>): GateChoice | undefined;
  /** Whether the gate is currently ejected because of failures. */
  isEjected(memberId: string): boolean;
}

/** Options of `createBalancer`. */
export interface BalancerOptions {
  readonly directory: Directory;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  /** The gate of this process; preferred while it has a free slot, which saves a network hop. */
  readonly ownGate?: { readonly memberId: string; isFree(): boolean };
}

/** Largest fraction of a service's gates that may be ejected at the same time. */
const MAX_EJECTED_FRACTION = 0.5;
/** Number of tracked gates above which the states without calls in flight are discarded. */
const MAX_TRACKED_GATES = 4096;

/** Creates a balancer without any observations. */
export function createBalancer(options: BalancerOptions): Balancer {
  const states = new Map<string, GateState>();
  return { choose, isEjected };

  function choose(route: CompiledRoute, triedGates: ReadonlySet<string>): GateChoice | undefined {
    const { service } = route.route;
    const gatesByDataCentre = groupGates(options, service);
    const preferred = listGatesByPreference(gatesByDataCentre, route);
    const untried = preferred.map((gates) =>
      gates.filter((gate) => !triedGates.has(gate.memberId)),
    );
    const nowMs = options.clock();
    const className = route.route.class;
    for (const gates of untried) {
      const available = gates.filter((one) => isAvailable(getState(one), className, nowMs));
      const gate = findFreeOwnGate(available) ?? pickOfTwo(available);
      if (gate !== undefined) return startChoice(route, gate);
    }
    // No gate is known to be available, but the observations may be outdated: try one anyway.
    const gate = untried.map((gates) => pickOfTwo(gates)).find((one) => one !== undefined);
    return gate === undefined ? undefined : startChoice(route, gate);
  }

  function listGatesByPreference(
    gatesByDataCentre: ReadonlyMap<string, readonly Gate[]>,
    route: CompiledRoute,
  ): (readonly Gate[])[] {
    const dataCentreWeights = [...gatesByDataCentre.keys()].map((dataCentre) => ({
      dataCentre,
      weight: route.weights[dataCentre] ?? 1,
    }));
    const order = chooseDataCentres(dataCentreWeights, options.dataCentre, options.random);
    return order.map((dataCentre) => gatesByDataCentre.get(dataCentre) ?? []);
  }

  function findFreeOwnGate(gates: readonly Gate[]): Gate | undefined {
    const { ownGate } = options;
    if (ownGate === undefined || !ownGate.isFree()) return undefined;
    return gates.find((gate) => gate.memberId === ownGate.memberId);
  }

  /** The cheaper of two random gates by expected cost (power of two choices, Mitzenmacher 2001). */
  function pickOfTwo(gates: readonly Gate[]): Gate | undefined {
    if (gates.length <= 1) return gates[0];
    const first = Math.floor(options.random() * gates.length);
    const second = (first + 1 + Math.floor(options.random() * (gates.length - 1))) % gates.length;
    const left = gates[first] as Gate;
    const right = gates[second] as Gate;
    const nowMs = options.clock();
    const leftLatencyMs = getLatency(getState(left), nowMs) ?? 0;
    const rightLatencyMs = getLatency(getState(right), nowMs) ?? 0;
    const leftCost = computeCost(getState(left), left.slots, rightLatencyMs, nowMs);
    const rightCost = computeCost(getState(right), right.slots, leftLatencyMs, nowMs);
    return leftCost <= rightCost ? left : right;
  }

  function startChoice(route: CompiledRoute, gate: Gate): GateChoice {
    const state = getState(gate);
    const className = route.route.class;
    state.inFlight += 1;
    return {
      gate,
      latencyMs: getLatency(state, options.clock()),
      finish: (observation, latencyMs) => {
        state.inFlight -= 1;
        const attempt = { className, latencyMs, nowMs: options.clock() };
        recordObservation(state, observation, attempt, () => shouldEject(route.route.service));
      },
    };
  }

  /** Whether one more gate of the service may be ejected. */
  function shouldEject(service: string): boolean {
    const gates = [
      ...options.directory.findLocal(service),
      ...options.directory.findRemote(service),
    ];
    const ejected = gates.filter((gate) => isEjected(gate.memberId)).length;
    return ejected + 1 <= gates.length * MAX_EJECTED_FRACTION;
  }

  function isEjected(memberId: string): boolean {
    return (states.get(memberId)?.ejectedUntilMs ?? 0) > options.clock();
  }

  /** The state of a gate; it starts afresh when the gate's upstream has become ready again. */
  function getState(gate: Gate): GateState {
    const known = states.get(gate.memberId);
    if (known !== undefined && known.readyAtMs === gate.readyAtMs) return known;
    if (states.size >= MAX_TRACKED_GATES) discardIdleStates();
    const state = createGateState(gate, options.clock());
    states.set(gate.memberId, state);
    return state;
  }

  function discardIdleStates(): void {
    for (const [memberId, state] of states) if (state.inFlight === 0) states.delete(memberId);
  }
}

/** Groups the gates of a service by data centre; data centres without a gate are left out. */
function groupGates(options: BalancerOptions, service: string): Map<string, readonly Gate[]> {
  const groups = new Map<string, Gate[]>();
  const local = options.directory.findLocal(service);
  if (local.length > 0) groups.set(options.dataCentre, [...local]);
  for (const gate of options.directory.findRemote(service)) {
    const group = groups.get(gate.dataCentre);
    if (group === undefined) groups.set(gate.dataCentre, [gate]);
    else group.push(gate);
  }
  return groups;
}

import type { Clock, Random } from '@cactusdeal/shared';
import type { CompiledRoute } from './CactusdealTrafficRouteTable.js';
import type { Directory, Gate } from './CactusdealTrafficTypes.js';

/** What an attempt at a gate showed. */
export const GateSign = {
  Answered: 'answered',
  /** The gate said that it cannot take more for now. */
  Refused: 'refused',
  /** The gate or its upstream could not be reached, or broke off. */
  Failed: 'failed',
  /** Says nothing of the gate, for example a cancelled call. */
  None: 'none',
} as const;
export type GateSign = (typeof GateSign)[keyof typeof GateSign];

/** A gate that was chosen for one attempt; `finish` is called once, when the attempt has ended. */
export interface Choice {
  readonly gate: Gate;
  finish(sign: GateSign, latencyMs: number): void;
}

/** Chooses gates by what calls observe. */
export interface Balancer {
  /** The gate for the next attempt, none of `tried` (member ids); undefined when there is none. */
  choose(route: CompiledRoute, tried: ReadonlySet<string>): Choice | undefined;
  /** Tells whether a gate gets no calls for now. */
  isEjected(memberId: string): boolean;
}

/** What the balancer works with. */
export interface BalancerParts {
  readonly directory: Directory;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
}

interface GateState {
  inFlight: number;
  latencyMs: number;
  failures: number;
  ejectedUntilMs: number;
  refusingUntilMs: number;
}

const FAILURES_TO_EJECT = 3;
const EJECTION_MS = 5000;
const REFUSAL_MS = 50;
const LATENCY_WEIGHT = 0.2;
const SLOW_START_MS = 10_000;
const SLOW_START_FLOOR = 0.1;

/** Creates a balancer that has seen nothing yet. */
export function createBalancer(parts: BalancerParts): Balancer {
  const states = new Map<string, GateState>();
  const getState = (gate: Gate): GateState => {
    const known = states.get(gate.memberId);
    if (known !== undefined) return known;
    const state = { inFlight: 0, latencyMs: 0, failures: 0, ejectedUntilMs: 0, refusingUntilMs: 0 };
    states.set(gate.memberId, state);
    return state;
  };

  return {
    choose,
    isEjected: (memberId) => (states.get(memberId)?.ejectedUntilMs ?? 0) > parts.clock(),
  };

  function choose(route: CompiledRoute, tried: ReadonlySet<string>): Choice | undefined {
    const { service } = route.route;
    const local = parts.directory.findLocal(service).filter((gate) => !tried.has(gate.memberId));
    const remote = parts.directory.findRemote(service).filter((gate) => !tried.has(gate.memberId));
    const gate = pickOfTwo(local.length > 0 ? local : remote);
    return gate === undefined ? undefined : openChoice(gate, getState(gate));
  }

  function pickOfTwo(gates: readonly Gate[]): Gate | undefined {
    if (gates.length <= 1) return gates[0];
    const first = Math.floor(parts.random() * gates.length);
    const second = (first + 1 + Math.floor(parts.random() * (gates.length - 1))) % gates.length;
    const left = gates[first] as Gate;
    const right = gates[second] as Gate;
    return computeCost(left) <= computeCost(right) ? left : right;
  }

  function computeCost(gate: Gate): number {
    const state = getState(gate);
    return ((state.inFlight + 1) * (state.latencyMs + 1)) / gate.slots;
  }
}

function openChoice(gate: Gate, held: GateState): Choice {
  const state = held;
  state.inFlight += 1;
  return {
    gate,
    finish: (sign, latencyMs) => {
      state.inFlight -= 1;
      if (sign === GateSign.Answered) {
        state.latencyMs += LATENCY_WEIGHT * (latencyMs - state.latencyMs);
      }
    },
  };
}
void [FAILURES_TO_EJECT, EJECTION_MS, REFUSAL_MS, SLOW_START_MS, SLOW_START_FLOOR];

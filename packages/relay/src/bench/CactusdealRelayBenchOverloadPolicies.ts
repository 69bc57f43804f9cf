import {
  type Admission,
  type AdmissionRequest,
  createAdmission,
} from '../CactusdealRelayAdmission.js';
import { chooseGate, type GateView, type Refusal } from '../CactusdealRelayBalancer.js';
import {
  computeEstimateCapMs,
  createServiceTimes,
  type ServiceTimes,
} from '../CactusdealRelayServiceTimes.js';
import type {
  OverloadPolicy,
  SimulatedCall,
  SimulatedUpstream,
  Simulation,
} from './CactusdealRelayBenchOverloadTypes.js';

/** Gates that one try may ask. */
const MAX_GATES = 2;
/** Time between a gate's reports to entries, in milliseconds. */
const REPORT_MS = 500;

interface SimulatedGate {
  readonly upstream: SimulatedUpstream;
  readonly times: ServiceTimes;
  readonly admission: Admission<QueuedCall>;
  /** Load last reported to the entries, and when. */
  report: { load: number; serviceMs: number; atMs: number };
  /** Last refusal, by kind of call. */
  readonly refusals: Map<string, Refusal>;
}

interface QueuedCall extends AdmissionRequest {
  readonly call: SimulatedCall;
  refuse(retryAfterMs: number): void;
}

/**
 * The relay's policy: balancing by expected answer time, admission control, and one further gate
 * after a refusal.
 */
export const RELAY_POLICY: OverloadPolicy = {
  name: 'cactusdeal',
  create: createRelayPlacement,
  retries: 1,
};

/**
 * FIFO queues without a bound, a random upstream of the service, callers that retry until their
 * deadline.
 */
export const FIFO_POLICY: OverloadPolicy = {
  name: 'first-in-first-out',
  create: createFifoPlacement,
  retries: Infinity,
};

function createRelayPlacement(simulation: Simulation): { submit(call: SimulatedCall): void } {
  const { timeline, random } = simulation;
  const gates = simulation.upstreams.map(createGate);
  const reportAll = (): void => {
    gates.forEach(publishLoad);
    timeline.schedule(REPORT_MS, reportAll);
  };
  reportAll();
  return { submit: (call) => tryGate(call, new Set()) };

  function createGate(upstream: SimulatedUpstream): SimulatedGate {
    const times = createServiceTimes();
    const admission = createAdmission<QueuedCall>(times);
    admission.setCapacity(upstream.slots);
    const report = { load: 0, serviceMs: times.getMean(), atMs: 0 };
    return { upstream, times, admission, report, refusals: new Map() };
  }

  function publishLoad(simulatedGate: SimulatedGate): void {
    const gate = simulatedGate;
    const { running, waiting } = gate.admission.getLoad();
    const atMs = timeline.getNowMs();
    gate.report = { load: running + waiting, serviceMs: gate.times.getMean(), atMs };
  }

  function tryGate(call: SimulatedCall, tried: ReadonlySet<string>): void {
    const nowMs = timeline.getNowMs();
    const targetMs = call.firstAtMs + call.kind.targetMs - nowMs;
    const choice = chooseGate({
      listGates: (isLocal) =>
        listGates(call, isLocal).map((gate) => buildView(gate, call, targetMs)),
      tried,
      priority: call.kind.priority,
      targetMs,
      nowMs,
      random,
    });
    if (choice.type !== 'gate') {
      simulation.refuse(call, 60);
      return;
    }
    const gate = gates.find(
      ({ upstream }) => upstream.id === choice.gate.memberId,
    ) as SimulatedGate;
    admitCall(gate, call, (retryAfterMs) => {
      const next = new Set([...tried, gate.upstream.id]);
      if (next.size < MAX_GATES) tryGate(call, next);
      else simulation.refuse(call, retryAfterMs);
    });
  }

  function listGates({ kind, dataCentre }: SimulatedCall, isLocal: boolean): SimulatedGate[] {
    return gates.filter(
      ({ upstream }) =>
        upstream.service === kind.service && (upstream.dataCentre === dataCentre) === isLocal,
    );
  }

  function buildView(
    { upstream, times, report, refusals }: SimulatedGate,
    { kind }: SimulatedCall,
    targetMs: number,
  ): GateView {
    return {
      memberId: upstream.id,
      isOwn: false,
      report: {
        service: upstream.service,
        open: true,
        capacity: upstream.slots,
        load: report.load,
        serviceMs: report.serviceMs,
        failureRate: 0,
      },
      reportedAtMs: report.atMs,
      unreportedCalls: 0,
      avoidedUntilMs: 0,
      refusal: refusals.get(kind.name),
      serviceMs: times.estimate(kind.name, computeEstimateCapMs(targetMs)),
      isWarmingUp: false,
      overheadMs: 0,
    };
  }

  function admitCall(
    gate: SimulatedGate,
    call: SimulatedCall,
    refuse: (retryAfterMs: number) => void,
  ): void {
    const nowMs = timeline.getNowMs();
    const targetAtMs = call.firstAtMs + call.kind.targetMs;
    const waiting: QueuedCall = {
      call,
      kind: call.kind.name,
      priority: call.kind.priority,
      estimateCapMs: computeEstimateCapMs(targetAtMs - nowMs),
      targetAtMs,
      deadlineAtMs: call.deadlineAtMs,
      latestAnswerAtMs: Math.min(targetAtMs, call.deadlineAtMs),
      refuse,
    };
    const decision = gate.admission.admit(waiting, nowMs);
    if (decision.type === 'start') start(gate, waiting);
    if (decision.type === 'refuse') {
      gate.refusals.set(waiting.kind, { atMs: nowMs, targetMs: targetAtMs - nowMs });
      refuse(decision.retryAfterMs);
    }
    refuseLate(gate);
    publishLoad(gate);
  }

  function start(gate: SimulatedGate, { call, kind }: QueuedCall): void {
    const serviceMs = simulation.computeServiceMs(call, gate.upstream);
    timeline.schedule(serviceMs, () => {
      gate.admission.release();
      gate.times.record(kind, serviceMs);
      simulation.answer(call);
      refuseLate(gate);
      for (;;) {
        const next = gate.admission.takeNext(timeline.getNowMs());
        if (next === undefined) break;
        start(gate, next);
      }
      publishLoad(gate);
    });
  }

  function refuseLate({ admission }: SimulatedGate): void {
    admission.evictLate(timeline.getNowMs()).forEach((waiting) => waiting.refuse(100));
  }
}

function createFifoPlacement(simulation: Simulation): { submit(call: SimulatedCall): void } {
  const { timeline, random } = simulation;
  const queues = new Map<string, SimulatedCall[]>();
  const running = new Map<string, number>();
  return {
    submit: (call) => {
      const candidates = simulation.upstreams.filter(
        ({ service }) => service === call.kind.service,
      );
      const upstream = candidates[Math.floor(random() * candidates.length)] as SimulatedUpstream;
      const queue = queues.get(upstream.id) ?? [];
      queues.set(upstream.id, queue);
      queue.push(call);
      startNext(upstream, queue);
    },
  };

  function startNext(upstream: SimulatedUpstream, queue: SimulatedCall[]): void {
    const busy = running.get(upstream.id) ?? 0;
    if (busy >= upstream.slots) return;
    // Calls whose callers have stopped waiting are dropped.
    while (queue[0] !== undefined && queue[0].deadlineAtMs <= timeline.getNowMs()) queue.shift();
    const call = queue.shift();
    if (call === undefined) return;
    running.set(upstream.id, busy + 1);
    timeline.schedule(simulation.computeServiceMs(call, upstream), () => {
      running.set(upstream.id, (running.get(upstream.id) ?? 0) - 1);
      simulation.answer(call);
      startNext(upstream, queue);
    });
    startNext(upstream, queue);
  }
}

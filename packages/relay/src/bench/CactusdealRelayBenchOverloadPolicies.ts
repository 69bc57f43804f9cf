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
  UpstreamPlan,
  World,
} from './CactusdealRelayBenchOverloadTypes.js';

const MAX_GATES = 2;
/** Time between a gate's reports to entries, in milliseconds. */
const REPORT_MS = 500;

interface SimulatedGate {
  readonly plan: UpstreamPlan;
  readonly times: ServiceTimes;
  readonly admission: Admission<Waiting>;
  /** What entries know of its load, and since when. */
  reported: { load: number; serviceMs: number; atMs: number };
  /** What it last refused, by kind. */
  readonly refusals: Map<string, Refusal>;
}

interface Waiting extends AdmissionRequest {
  readonly call: SimulatedCall;
  refuse(retryAfterMs: number): void;
}

/** The relay's own decisions: admission on arrival, the gate of the soonest answer, one look elsewhere. */
export const OWN_POLICY: OverloadPolicy = { name: 'cactusdeal', create: createOwn, retries: 1 };

/** First in, first out, at a random gate of the service; callers repeat until their deadline. */
export const PLAIN_POLICY: OverloadPolicy = {
  name: 'first-in-first-out',
  create: createPlain,
  retries: Infinity,
};

function createOwn(world: World): { submit(call: SimulatedCall): void } {
  const { timeline, random } = world;
  const gates = world.upstreams.map(createGate);
  const reportAll = (): void => {
    gates.forEach(publishLoad);
    timeline.schedule(REPORT_MS, reportAll);
  };
  reportAll();
  return { submit: (call) => tryGate(call, new Set()) };

  function createGate(plan: UpstreamPlan): SimulatedGate {
    const times = createServiceTimes();
    const admission = createAdmission<Waiting>(times);
    admission.setCapacity(plan.slots);
    const reported = { load: 0, serviceMs: times.getMean(), atMs: 0 };
    return { plan, times, admission, reported, refusals: new Map() };
  }

  function publishLoad(held: SimulatedGate): void {
    const gate = held;
    const { running, waiting } = gate.admission.getLoad();
    const atMs = timeline.getNowMs();
    gate.reported = { load: running + waiting, serviceMs: gate.times.getMean(), atMs };
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
      world.refuse(call, 60);
      return;
    }
    const gate = gates.find(({ plan }) => plan.id === choice.gate.memberId) as SimulatedGate;
    admitCall(gate, call, (retryAfterMs) => {
      const next = new Set([...tried, gate.plan.id]);
      if (next.size < MAX_GATES) tryGate(call, next);
      else world.refuse(call, retryAfterMs);
    });
  }

  function listGates({ kind, dataCentre }: SimulatedCall, isLocal: boolean): SimulatedGate[] {
    return gates.filter(
      ({ plan }) => plan.service === kind.service && (plan.dataCentre === dataCentre) === isLocal,
    );
  }

  function buildView(
    { plan, times, reported, refusals }: SimulatedGate,
    { kind }: SimulatedCall,
    targetMs: number,
  ): GateView {
    return {
      memberId: plan.id,
      isOwn: false,
      report: {
        service: plan.service,
        open: true,
        capacity: plan.slots,
        load: reported.load,
        serviceMs: reported.serviceMs,
        failureRate: 0,
      },
      reportedAtMs: reported.atMs,
      unreportedCalls: 0,
      avoidedUntilMs: 0,
      refusal: refusals.get(kind.name),
      serviceMs: times.estimate(kind.name, computeEstimateCapMs(targetMs)),
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
    const waiting: Waiting = {
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

  function start(gate: SimulatedGate, { call, kind }: Waiting): void {
    const serviceMs = world.computeServiceMs(call, gate.plan);
    timeline.schedule(serviceMs, () => {
      gate.admission.release();
      gate.times.record(kind, serviceMs);
      world.answer(call);
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

function createPlain(world: World): { submit(call: SimulatedCall): void } {
  const { timeline, random } = world;
  const queues = new Map<string, SimulatedCall[]>();
  const running = new Map<string, number>();
  return {
    submit: (call) => {
      const fitting = world.upstreams.filter(({ service }) => service === call.kind.service);
      const upstream = fitting[Math.floor(random() * fitting.length)] as UpstreamPlan;
      const queue = queues.get(upstream.id) ?? [];
      queues.set(upstream.id, queue);
      queue.push(call);
      startNext(upstream, queue);
    },
  };

  function startNext(upstream: UpstreamPlan, queue: SimulatedCall[]): void {
    const busy = running.get(upstream.id) ?? 0;
    if (busy >= upstream.slots) return;
    // A caller that left is not served.
    while (queue[0] !== undefined && queue[0].deadlineAtMs <= timeline.getNowMs()) queue.shift();
    const call = queue.shift();
    if (call === undefined) return;
    running.set(upstream.id, busy + 1);
    timeline.schedule(world.computeServiceMs(call, upstream), () => {
      running.set(upstream.id, (running.get(upstream.id) ?? 0) - 1);
      world.answer(call);
      startNext(upstream, queue);
    });
    startNext(upstream, queue);
  }
}

import { createSeededRandom } from '@cactusdeal/shared';
import { type AdmissionRequest, createAdmission } from '../CactusdealRelayAdmission.js';
import {
  type Choice,
  type ChoiceInput,
  chooseGate,
  type GateView,
} from '../CactusdealRelayBalancer.js';
import { createServiceTimes, computeEstimateCapMs } from '../CactusdealRelayServiceTimes.js';
import { createTimeline } from './CactusdealRelayBenchTimeline.js';

/** Result of many entries that place the calls of one service on many gates. */
export interface FleetReport {
  /** Calls, as a multiple of what the gates can serve. */
  readonly load: number;
  /** Fraction of the calls that were answered within their target. */
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Calls that the busiest gate was offered, as a multiple of the mean. */
  readonly busiest: number;
}

export interface FleetOptions {
  readonly entries: number;
  readonly gates: number;
  readonly load: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Chooses the gate for a call; the product's own choice by default. */
  readonly choose?: (input: ChoiceInput) => Choice;
}

interface FleetCall extends AdmissionRequest {
  readonly workMs: number;
  readonly entry: FleetEntry;
  readonly startedAtMs: number;
  readonly tried: Set<string>;
}

interface FleetGate {
  readonly id: string;
  readonly slowFactor: number;
  readonly admission: ReturnType<typeof createAdmission<FleetCall>>;
  readonly times: ReturnType<typeof createServiceTimes>;
  offered: number;
}

/** What one entry knows about one gate: as of the last report or answer. */
interface EntryView {
  load: number;
  serviceMs: number;
  reportedAtMs: number;
  unreportedCalls: number;
  refusal: { atMs: number; targetMs: number } | undefined;
}

type FleetEntry = Map<string, EntryView>;

const SLOTS = 8;
const SLOW_FACTORS: readonly number[] = [0.6, 1, 1.4];
const SERVICE_MS = 190;
const SERVICE_SPREAD = 0.5;
const TARGET_MS = 840;
const DEADLINE_MS = 3_150;
const REPORT_MS = 500;
const MIN_REPORTED_LOAD_FRACTION = 0.4;
/** One way between an entry and a gate. */
const TRANSIT_MS = 1;
const MAX_GATES = 2;
const KIND = 'read';
const MS_PER_SECOND = 1_000;

/**
 * Simulates one data centre in which each entry knows the load of the gates only from reports and from
 * the answers to its own calls.
 *
 * Load pattern: a fleet with many entries, each with few calls a second, so that what an entry knows
 * of a gate is older than the time in which the other entries fill it.
 */
export function runFleet(options: FleetOptions): FleetReport {
  const { entries: entryCount, gates: gateCount, load, durationMs, seed } = options;
  const choose = options.choose ?? chooseGate;
  const random = createSeededRandom(seed);
  const { timeline, run } = createTimeline();
  const gates = Array.from({ length: gateCount }, (_, index) => createGate(index));
  const entries = Array.from({ length: entryCount }, () => createEntry());
  const counts = { calls: 0, onTime: 0, late: 0, refused: 0 };
  const capacity = gates.reduce((sum, { slowFactor }) => sum + SLOTS / slowFactor, 0);
  const callsPerMs = (capacity / SERVICE_MS) * load;
  scheduleArrival();
  gates.forEach((gate) => timeline.schedule(random() * REPORT_MS, () => report(gate, 0)));
  run(durationMs);
  const offered = gates.map((gate) => gate.offered);
  return {
    load,
    onTime: toFraction(counts.onTime),
    late: toFraction(counts.late),
    refused: toFraction(counts.refused),
    busiest: Math.max(...offered) / (offered.reduce((sum, one) => sum + one, 0) / gateCount),
  };

  function toFraction(part: number): number {
    return Math.round((part / counts.calls) * MS_PER_SECOND) / MS_PER_SECOND;
  }

  /** Counts what became of a call, unless the run may end before it does. */
  function count(name: keyof typeof counts, startedAtMs: number): void {
    if (startedAtMs < durationMs - DEADLINE_MS) counts[name] += 1;
  }

  function createGate(index: number): FleetGate {
    const times = createServiceTimes();
    const admission = createAdmission<FleetCall>(times);
    admission.setCapacity(SLOTS);
    const slowFactor = SLOW_FACTORS[index % SLOW_FACTORS.length] ?? 1;
    return { id: `g${index}`, slowFactor, admission, times, offered: 0 };
  }

  function createEntry(): FleetEntry {
    const unknown = { load: 0, serviceMs: 50, reportedAtMs: 0, unreportedCalls: 0 };
    return new Map(gates.map(({ id }) => [id, { ...unknown, refusal: undefined }]));
  }

  function report(gate: FleetGate, lastLoad: number): void {
    const { running, waiting } = gate.admission.getLoad();
    const current = running + waiting;
    if (Math.max(current, lastLoad) > SLOTS * MIN_REPORTED_LOAD_FRACTION)
      entries.forEach((entry) => updateView(entry, gate));
    timeline.schedule(REPORT_MS, () => report(gate, current));
  }

  function updateView(entry: FleetEntry, gate: FleetGate): void {
    const { running, waiting } = gate.admission.getLoad();
    const view = entry.get(gate.id) as EntryView;
    view.load = running + waiting;
    view.serviceMs = gate.times.getMean();
    view.reportedAtMs = timeline.getNowMs();
    view.unreportedCalls = 0;
  }

  function scheduleArrival(): void {
    timeline.schedule(-Math.log(1 - random()) / callsPerMs, () => {
      const nowMs = timeline.getNowMs();
      count('calls', nowMs);
      send({
        kind: KIND,
        priority: 0,
        estimateCapMs: computeEstimateCapMs(TARGET_MS),
        targetAtMs: nowMs + TARGET_MS,
        deadlineAtMs: nowMs + DEADLINE_MS,
        latestAnswerAtMs: nowMs + TARGET_MS,
        workMs: pickWorkMs(),
        entry: entries[Math.floor(random() * entryCount)] as FleetEntry,
        startedAtMs: nowMs,
        tried: new Set(),
      });
      scheduleArrival();
    });
  }

  function pickWorkMs(): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return SERVICE_MS * Math.exp(SERVICE_SPREAD * normal - SERVICE_SPREAD ** 2 / 2);
  }

  function send(call: FleetCall): void {
    const nowMs = timeline.getNowMs();
    const input: ChoiceInput = {
      listGates: (isLocal) => (isLocal ? gates.map((gate) => buildView(call.entry, gate)) : []),
      tried: call.tried,
      priority: call.priority,
      targetMs: call.targetAtMs - nowMs,
      nowMs,
      random,
    };
    const choice = choose(input);
    if (choice.type !== 'gate') {
      count('refused', call.startedAtMs);
      return;
    }
    const gate = gates.find(({ id }) => id === choice.gate.memberId) as FleetGate;
    call.tried.add(gate.id);
    const view = call.entry.get(gate.id) as EntryView;
    view.unreportedCalls += 1;
    timeline.schedule(TRANSIT_MS, () => admit(gate, call));
  }

  function buildView(entry: FleetEntry, { id }: FleetGate): GateView {
    const view = entry.get(id) as EntryView;
    return {
      memberId: id,
      isOwn: false,
      report: {
        service: 'records',
        open: true,
        capacity: SLOTS,
        load: view.load,
        serviceMs: view.serviceMs,
        failureRate: 0,
      },
      reportedAtMs: view.reportedAtMs,
      unreportedCalls: view.unreportedCalls,
      avoidedUntilMs: 0,
      refusal: view.refusal,
      serviceMs: view.serviceMs,
      isWarmingUp: false,
      overheadMs: 2 * TRANSIT_MS,
    };
  }

  function admit(fleetGate: FleetGate, call: FleetCall): void {
    const gate = fleetGate;
    gate.offered += 1;
    const decision = gate.admission.admit(call, timeline.getNowMs());
    if (decision.type === 'start') start(gate, call);
    if (decision.type === 'refuse') timeline.schedule(TRANSIT_MS, () => retry(gate, call));
    evictLate(gate);
  }

  function evictLate(gate: FleetGate): void {
    gate.admission.evictLate(timeline.getNowMs()).forEach((call) => retry(gate, call));
  }

  function retry(gate: FleetGate, call: FleetCall): void {
    const nowMs = timeline.getNowMs();
    updateView(call.entry, gate);
    const view = call.entry.get(gate.id) as EntryView;
    view.refusal = { atMs: nowMs, targetMs: call.targetAtMs - nowMs };
    if (call.tried.size < MAX_GATES) send(call);
    else count('refused', call.startedAtMs);
  }

  function start(gate: FleetGate, call: FleetCall): void {
    const serviceMs = call.workMs * gate.slowFactor;
    timeline.schedule(serviceMs, () => {
      gate.admission.release();
      gate.times.record(KIND, serviceMs);
      const isOnTime = timeline.getNowMs() <= call.targetAtMs;
      count(isOnTime ? 'onTime' : 'late', call.startedAtMs);
      timeline.schedule(TRANSIT_MS, () => updateView(call.entry, gate));
      evictLate(gate);
      const next = gate.admission.takeNext(timeline.getNowMs());
      if (next !== undefined) start(gate, next);
    });
  }
}

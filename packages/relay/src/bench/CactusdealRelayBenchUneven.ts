import { createSeededRandom } from '@cactusdeal/shared';
import { createAdmission } from '../CactusdealRelayAdmission.js';
import { chooseGate, type GateView, WARM_UP_FACTOR } from '../CactusdealRelayBalancer.js';
import { createFailureRate } from '../CactusdealRelayFailureRate.js';
import { isReportDue } from '../CactusdealRelayGateReport.js';
import { createKnownGate } from '../CactusdealRelayKnownGate.js';
import { chooseLinks, LinkState } from '../CactusdealRelayLinkPlan.js';
import { computeEstimateCapMs, createServiceTimes } from '../CactusdealRelayServiceTimes.js';
import {
  type AttemptEnd,
  buildNotRun,
  type GateReport,
  type Member,
  NotRunReason,
} from '../CactusdealRelayTypes.js';
import { createWarmUpTimes } from '../CactusdealRelayWarmUp.js';
import { createTimeline } from './CactusdealRelayBenchTimeline.js';
import type {
  Listener,
  UnevenCall,
  UnevenGate,
  UnevenHost,
  UnevenOptions,
  UnevenReport,
} from './CactusdealRelayBenchUnevenTypes.js';

const SERVICE = 'records';
const KIND = 'read';
const SERVICE_MS = 190;
const SERVICE_SPREAD = 0.5;
const TARGET_MS = 840;
const DEADLINE_MS = 3_150;
const LOCAL_REPORT_MS = 500;
const REMOTE_REPORT_MS = 10_000;
/** One way between daemons, in and between data centres. */
const LOCAL_TRANSIT_MS = 1;
const REMOTE_TRANSIT_MS = 3.4;
const MAX_GATES = 2;
const WAVE_MS = 13_000;
const SLOWED_MS = 600;
const SLOWED_FACTOR = 2.5;
const COLD_MS = 3_000;
const COLD_FACTOR = 2;
const FAILING_MS = 5;
/** Calls before this time are not counted, as the entries know nothing yet, nor those that may not end in time. */
const WARM_UP_MS = 3_000;
const THOUSANDTHS = 1_000;

/**
 * Simulates daemons in several data centres that place the calls of one service, with the product's own
 * admission, links, records of gates and choice.
 *
 * Load pattern: upstreams of different and changing speed, demand that rises in one data centre while it
 * falls in another, and loads known from reports up to 0.5 s old and from the ends of calls.
 */
export function runUneven(options: UnevenOptions): UnevenReport {
  const random = createSeededRandom(options.seed);
  const { timeline, run } = createTimeline();
  const { getNowMs } = timeline;
  const choose = options.choose ?? chooseGate;
  const counts = { calls: 0, onTime: 0, late: 0, refused: 0, failed: 0, inVain: 0, remote: 0 };
  const durations: number[] = [];
  const members = Array.from({ length: options.hosts }, (_, index) => buildMember(index));
  const gates = members.slice(0, options.gates).map(createGate);
  const hosts = members.map(createHost);
  scheduleArrivals();
  gates.forEach(scheduleGateEvents);
  run(options.durationMs);
  return buildReport();

  function buildMember(index: number): Member {
    const id = `d${String(index).padStart(3, '0')}`;
    const service = index < options.gates ? SERVICE : 'other';
    return { id, dataCentre: `z${index % options.dataCentres}`, service, address: id };
  }

  function createGate(member: Member, index: number): UnevenGate {
    const usualTimes = createServiceTimes();
    const times = createWarmUpTimes(usualTimes, () =>
      gate.coldUntilMs > getNowMs() ? WARM_UP_FACTOR : 1,
    );
    const admission = createAdmission<UnevenCall>(times);
    admission.setCapacity(options.slots);
    const [min, max] = options.slowFactors;
    const gate: UnevenGate = {
      member,
      slowFactor: min + (max - min) * random(),
      isFailing: index >= options.gates - options.failingGates,
      admission,
      times,
      usualTimes,
      listeners: [],
      failureRate: createFailureRate(getNowMs),
      slowedUntilMs: 0,
      coldUntilMs: 0,
    };
    return gate;
  }

  function createHost(member: Member): UnevenHost {
    const candidates = members
      .filter(({ id }) => id !== member.id)
      .map((other) => ({ member: other, state: LinkState.None }));
    const linked = chooseLinks(member, candidates);
    const links: UnevenHost['links'] = new Map();
    gates.forEach((gate) => {
      if (!linked.has(gate.member.id)) return;
      const known = createKnownGate(gate.member.id, getNowMs);
      const isLocal = gate.member.dataCentre === member.dataCentre;
      const listener: Listener = { known, isLocal, lastReported: buildGateReport(gate) };
      known.receiveReport(buildGateReport(gate));
      gate.listeners.push(listener);
      links.set(gate.member.id, { gate, listener });
    });
    return { member, links, ownGate: gates.find((gate) => gate.member.id === member.id) };
  }

  function buildGateReport({
    admission,
    usualTimes,
    failureRate,
    coldUntilMs,
  }: UnevenGate): GateReport {
    const { running, waiting } = admission.getLoad();
    return {
      service: SERVICE,
      open: true,
      capacity: options.slots,
      load: running + waiting,
      serviceMs: Math.round(usualTimes.getMean()),
      failureRate: Math.round(failureRate.get() * 100) / 100,
      warmUpLeftMs: coldUntilMs > getNowMs() ? coldUntilMs - getNowMs() : undefined,
    };
  }

  function scheduleGateEvents(uneven: UnevenGate): void {
    const gate = uneven;
    const { slowedFraction, coldStartsWithinMs } = options;
    timeline.schedule(random() * LOCAL_REPORT_MS, () => reportLocally(gate));
    timeline.schedule(random() * REMOTE_REPORT_MS, () => reportToAll(gate));
    if (slowedFraction > 0) scheduleSlowing(gate);
    if (coldStartsWithinMs === 0) return;
    timeline.schedule(WARM_UP_MS + random() * coldStartsWithinMs, () => {
      gate.coldUntilMs = getNowMs() + COLD_MS;
      pushReport(gate, () => true);
    });
  }

  function scheduleSlowing(uneven: UnevenGate): void {
    const gate = uneven;
    const { slowedFraction } = options;
    const meanGapMs = (SLOWED_MS * (1 - slowedFraction)) / slowedFraction;
    timeline.schedule(-Math.log(1 - random()) * meanGapMs, () => {
      gate.slowedUntilMs = getNowMs() + SLOWED_MS;
      timeline.schedule(SLOWED_MS, () => scheduleSlowing(gate));
    });
  }

  function reportLocally(gate: UnevenGate): void {
    const report = buildGateReport(gate);
    pushReport(gate, (link) => link.isLocal && isReportDue(report, link.lastReported));
    timeline.schedule(LOCAL_REPORT_MS, () => reportLocally(gate));
  }

  function reportToAll(gate: UnevenGate): void {
    pushReport(gate, () => true);
    timeline.schedule(REMOTE_REPORT_MS, () => reportToAll(gate));
  }

  function pushReport(gate: UnevenGate, accept: (listener: Listener) => boolean): void {
    const report = buildGateReport(gate);
    gate.listeners.filter(accept).forEach((target) => {
      const listener = target;
      listener.lastReported = report;
      listener.known.receiveReport(report);
    });
  }

  function scheduleArrivals(): void {
    const meanFactor = (options.slowFactors[0] + options.slowFactors[1]) / 2;
    const sound = options.gates - options.failingGates;
    const capacity = (sound * options.slots) / meanFactor / SERVICE_MS;
    const callsPerMs = (capacity * options.load) / options.hosts;
    hosts.forEach((host) => scheduleArrival(host, callsPerMs * (1 + options.waveFraction)));
  }

  /** Thins a constant stream at the peak rate to the rate of the moment. */
  function scheduleArrival(host: UnevenHost, peakPerMs: number): void {
    timeline.schedule(-Math.log(1 - random()) / peakPerMs, () => {
      const phase = Number(host.member.dataCentre.slice(1)) / options.dataCentres;
      const wave = Math.sin(2 * Math.PI * (getNowMs() / WAVE_MS + phase));
      const share = (1 + options.waveFraction * wave) / (1 + options.waveFraction);
      if (random() < share) startCall(host);
      scheduleArrival(host, peakPerMs);
    });
  }

  function startCall(host: UnevenHost): void {
    const nowMs = getNowMs();
    count('calls', nowMs);
    send({
      kind: KIND,
      priority: 1,
      estimateCapMs: computeEstimateCapMs(TARGET_MS),
      targetAtMs: nowMs + TARGET_MS,
      deadlineAtMs: nowMs + DEADLINE_MS,
      latestAnswerAtMs: nowMs + TARGET_MS,
      workMs: pickWorkMs(),
      host,
      startedAtMs: nowMs,
      tried: new Set(),
      sentAtMs: nowMs,
      arrivedAtMs: nowMs,
    });
  }

  function count(name: keyof typeof counts, startedAtMs: number): void {
    if (isCounted(startedAtMs)) counts[name] += 1;
  }

  function isCounted(startedAtMs: number): boolean {
    return startedAtMs >= WARM_UP_MS && startedAtMs < options.durationMs - DEADLINE_MS;
  }

  function pickWorkMs(): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return SERVICE_MS * Math.exp(SERVICE_SPREAD * normal - SERVICE_SPREAD ** 2 / 2);
  }

  function send(sent: UnevenCall): void {
    const call = sent;
    const nowMs = getNowMs();
    const choice = choose({
      listGates: (isLocal) => listViews(call, isLocal),
      tried: call.tried,
      priority: call.priority,
      targetMs: call.targetAtMs - nowMs,
      nowMs,
      random,
    });
    if (choice.type !== 'gate') {
      count('refused', call.startedAtMs);
      return;
    }
    const { memberId } = choice.gate;
    call.tried.add(memberId);
    call.sentAtMs = nowMs;
    const { ownGate, links } = call.host;
    const link = links.get(memberId);
    link?.listener.known.recordSent();
    const gate = (link?.gate ?? ownGate) as UnevenGate;
    if (link?.listener.isLocal === false) count('remote', call.startedAtMs);
    timeline.schedule(getTransitMs(call, gate), () => admit(gate, call));
  }

  function listViews({ host, estimateCapMs }: UnevenCall, isLocal: boolean): GateView[] {
    const views: GateView[] = [];
    if (isLocal && host.ownGate !== undefined) views.push(buildOwnView(host.ownGate));
    host.links.forEach(({ listener }) => {
      if (listener.isLocal !== isLocal) return;
      const view = listener.known.getView({ kind: KIND, estimateCapMs, refusalKey: KIND }, 0);
      if (view !== undefined) views.push(view);
    });
    return views;
  }

  function buildOwnView(gate: UnevenGate): GateView {
    return {
      memberId: gate.member.id,
      isOwn: true,
      report: buildGateReport(gate),
      reportedAtMs: getNowMs(),
      unreportedCalls: 0,
      avoidedUntilMs: 0,
      refusal: undefined,
      serviceMs: gate.usualTimes.estimate(KIND, computeEstimateCapMs(TARGET_MS)),
      isWarmingUp: getNowMs() < gate.coldUntilMs,
      overheadMs: 0,
    };
  }

  function getTransitMs({ host }: UnevenCall, { member }: UnevenGate): number {
    if (host.member.id === member.id) return 0;
    return host.member.dataCentre === member.dataCentre ? LOCAL_TRANSIT_MS : REMOTE_TRANSIT_MS;
  }

  function admit(gate: UnevenGate, admitted: UnevenCall): void {
    const call = admitted;
    call.arrivedAtMs = getNowMs();
    const decision = gate.admission.admit(call, getNowMs());
    if (decision.type === 'start') start(gate, call);
    else if (hasFreeGate(call.host)) count('inVain', call.startedAtMs);
    if (decision.type === 'refuse') finish(gate, call, buildNotRun(NotRunReason.Busy));
    evictLate(gate);
  }

  function hasFreeGate({ member }: UnevenHost): boolean {
    const local = gates.filter((gate) => gate.member.dataCentre === member.dataCentre);
    return local.some(({ admission }) => admission.getLoad().running < options.slots);
  }

  function evictLate(gate: UnevenGate): void {
    gate.admission
      .evictLate(getNowMs())
      .forEach((call) => finish(gate, call, buildNotRun(NotRunReason.Overtaken)));
  }

  /** Passes the end of a call to its entry, with the load of the gate at that moment. */
  function finish(gate: UnevenGate, call: UnevenCall, end: AttemptEnd): void {
    const news = buildGateReport(gate);
    timeline.schedule(getTransitMs(call, gate), () => {
      const known = call.host.links.get(gate.member.id)?.listener.known;
      known?.receiveLoad({ load: news.load, failureRate: news.failureRate });
      known?.recordEnd(
        {
          kind: KIND,
          refusalKey: KIND,
          targetMs: call.targetAtMs - call.sentAtMs,
          bodyBytes: 0,
        },
        end,
        getNowMs() - call.sentAtMs,
      );
      settle(call, end);
    });
  }

  function settle(call: UnevenCall, end: AttemptEnd): void {
    if (end.type === 'not-run') {
      if (call.tried.size < MAX_GATES) send(call);
      else count('refused', call.startedAtMs);
      return;
    }
    const isFailed = end.type !== 'answered' || end.answer.status !== 200;
    if (isFailed) {
      count('failed', call.startedAtMs);
      return;
    }
    count(getNowMs() <= call.targetAtMs ? 'onTime' : 'late', call.startedAtMs);
    if (isCounted(call.startedAtMs)) durations.push(getNowMs() - call.startedAtMs);
  }

  function start(uneven: UnevenGate, call: UnevenCall): void {
    const gate = uneven;
    const startedAtMs = getNowMs();
    const slowed = startedAtMs < gate.slowedUntilMs ? SLOWED_FACTOR : 1;
    const cold = startedAtMs < gate.coldUntilMs ? COLD_FACTOR : 1;
    const serviceMs = gate.isFailing ? FAILING_MS : call.workMs * gate.slowFactor * slowed * cold;
    timeline.schedule(serviceMs, () => {
      gate.admission.release();
      gate.failureRate.record(gate.isFailing ? 1 : 0);
      if (gate.isFailing) gate.times.recordFailed(KIND, serviceMs);
      else gate.times.record(KIND, serviceMs);
      finish(gate, call, {
        type: 'answered',
        answer: { status: gate.isFailing ? 500 : 200, headers: [], body: new Uint8Array(0) },
        serviceMs,
        queuedMs: startedAtMs - call.arrivedAtMs,
        nestedFailed: false,
        limit: undefined,
      });
      evictLate(gate);
      const next = gate.admission.takeNext(getNowMs());
      if (next !== undefined) start(gate, next);
    });
  }

  function buildReport(): UnevenReport {
    const toFraction = (part: number): number =>
      Math.round((part / counts.calls) * THOUSANDTHS) / THOUSANDTHS;
    const sorted = durations.sort((left, right) => left - right);
    const sumMs = sorted.reduce((sum, durationMs) => sum + durationMs, 0);
    return {
      onTime: toFraction(counts.onTime),
      late: toFraction(counts.late),
      refused: toFraction(counts.refused),
      failed: toFraction(counts.failed),
      meanMs: Math.round(sumMs / sorted.length),
      p95Ms: Math.round(sorted[Math.floor(sorted.length * 0.95)] ?? 0),
      waitedInVain: toFraction(counts.inVain),
      remote: toFraction(counts.remote),
    };
  }
}

import type { Clock, Log } from '@cactusdeal/shared';
import {
  type Admission,
  type AdmissionRequest,
  createAdmission,
} from './CactusdealRelayAdmission.js';
import { findField } from './CactusdealRelayHeaders.js';
import {
  createServiceTimes,
  computeEstimateCapMs,
  type ServiceTimes,
} from './CactusdealRelayServiceTimes.js';
import {
  type Answer,
  type Attempt,
  type AttemptEnd,
  buildNotRun,
  type GateCall,
  type GateReport,
  type HeaderNames,
  NotRunReason,
  UnknownReason,
  type Upstream,
} from './CactusdealRelayTypes.js';
import {
  createUpstreamPool,
  type UpstreamCall,
  type UpstreamEnd,
  type UpstreamPool,
} from './CactusdealRelayUpstream.js';

/** Decides which calls reach the upstream beside this daemon, and sends them. */
export interface Gate {
  serve(call: GateCall): Attempt;
  /** Takes in what the upstream last told of itself; undefined when it is not known. */
  setUpstream(upstream: Upstream | undefined): void;
  getReport(): GateReport;
  /** Expected time of a call of the kind in the upstream; at most `estimateCapMs` when it saw none. In milliseconds. */
  estimateServiceMs(kind: string, estimateCapMs: number): number;
  /** Whether the upstream runs the call of this id. */
  isRunning(callId: string): boolean;
  /** A call that the upstream made for the one of this id was not served. */
  recordFailureBelow(callId: string): void;
  /** Refuses what waits and what comes; what runs goes on. */
  drain(): void;
  close(): void;
}

export interface GateOptions {
  /** `IP:PORT` of the upstream. */
  readonly address: string;
  /** Service that the settings name for the upstream, until it tells its own. */
  readonly service: string;
  readonly names: HeaderNames;
  readonly clock: Clock;
  readonly log: Log;
  /** Runs after the gate opened or closed, and when its load changed much. */
  readonly observe: () => void;
}

interface Waiting extends AdmissionRequest {
  readonly call: GateCall;
  readonly arrivedAtMs: number;
  readonly settle: (end: AttemptEnd) => void;
  state: 'waiting' | 'running' | 'ended';
  running: UpstreamCall | undefined;
}

/** A request to the upstream that has ended. */
interface Run {
  readonly end: UpstreamEnd;
  readonly startedAtMs: number;
  /** Whether a call that the upstream made meanwhile was not served. */
  readonly failedBelow: boolean;
}

/** How long a gate stays closed after no connection to its upstream could be had. */
const UNREACHABLE_MS = 300;
/** Part of the time left in which a nested call has to be expected to end. */
const NESTED_PART = 0.8;
const FAILURE_WEIGHT = 0.05;
const SWEEP_MS = 25;
const OVERTAKEN_RETRY_MS = 100;
const SERVER_ERROR = 500;
const SHED_STATUSES: ReadonlySet<number> = new Set([400, 421, 429, 503]);
const MISDIRECTED = 421;

/** Creates the gate of one upstream. */
export function createGate(options: GateOptions): Gate {
  return new UpstreamGate(options);
}

class UpstreamGate implements Gate {
  private readonly times: ServiceTimes = createServiceTimes();

  private readonly admission: Admission<Waiting> = createAdmission<Waiting>(this.times);

  private readonly pool: UpstreamPool;

  private upstream: Upstream | undefined;

  private isDraining = false;

  private unreachableUntilMs = 0;

  private failureRate = 0;

  /** Ids of the calls that the upstream runs; whether a call that it made for one was not served. */
  private readonly runningIds = new Map<string, boolean>();

  private sweep: NodeJS.Timeout | undefined;

  public constructor(private readonly options: GateOptions) {
    const { address, names, clock } = options;
    this.pool = createUpstreamPool({ address, idField: names.callId, clock });
  }

  public serve(call: GateCall): Attempt {
    const nowMs = this.options.clock();
    let settle: (end: AttemptEnd) => void = () => {};
    const end = new Promise<AttemptEnd>((resolve) => {
      settle = resolve;
    });
    const waiting: Waiting = {
      call,
      kind: call.kind,
      priority: call.priority,
      estimateCapMs: computeEstimateCapMs(call.targetMs),
      targetAtMs: nowMs + call.targetMs,
      deadlineAtMs: nowMs + call.remainingMs,
      latestAnswerAtMs: nowMs + computeAdmissionMs(call),
      arrivedAtMs: nowMs,
      settle,
      state: 'waiting',
      running: undefined,
    };
    this.admit(waiting, nowMs);
    return { end, cancel: () => this.cancel(waiting) };
  }

  private admit(waiting: Waiting, nowMs: number): void {
    const closed = this.findClosed(waiting.call.service, nowMs);
    if (closed !== undefined) {
      this.refuse(waiting, closed);
      return;
    }
    const verdict = this.admission.admit(waiting, nowMs);
    if (verdict.type === 'start') {
      this.start(waiting);
    } else if (verdict.type === 'wait') {
      this.refuseLate(nowMs);
      this.startSweep();
    } else {
      this.refuse(waiting, NotRunReason.Busy, verdict.retryAfterMs);
    }
  }

  private refuse(waiting: Waiting, reason: NotRunReason, retryAfterMs = 0): void {
    const { log, names, clock } = this.options;
    const { running, waiting: queued } = this.admission.getLoad();
    log.info('gate-refused', {
      call: findField(waiting.call.headers, names.callId),
      reason,
      upstream: this.upstream?.id,
      state: this.upstream?.state ?? 'unknown',
      capacity: this.upstream?.capacity,
      running,
      waiting: queued,
      serviceMs: Math.round(this.times.estimate(waiting.kind, waiting.estimateCapMs)),
      targetMs: Math.round(waiting.targetAtMs - clock()),
      waitedMs: Math.round(clock() - waiting.arrivedAtMs),
    });
    finish(waiting, buildNotRun(reason, retryAfterMs));
  }

  /** Why the upstream gets no new call; undefined when it does. */
  private findClosed(service: string, nowMs: number): NotRunReason | undefined {
    const { upstream } = this;
    const isReady = upstream?.state === 'ready' && upstream.service === service;
    if (!isReady || this.isDraining) return NotRunReason.Closed;
    return nowMs < this.unreachableUntilMs ? NotRunReason.Unreachable : undefined;
  }

  private start(held: Waiting): void {
    const waiting = held;
    const { call } = waiting;
    const upstream = this.upstream as Upstream;
    const startedAtMs = this.options.clock();
    const id = findField(call.headers, this.options.names.callId);
    if (id !== undefined) this.runningIds.set(id, false);
    const request = this.pool.send({
      method: call.method,
      path: call.path,
      headers: this.buildHeaders(call, upstream, waiting.deadlineAtMs - startedAtMs),
      body: call.body,
      id,
    });
    waiting.state = 'running';
    waiting.running = request;
    void request.end.then((end) => {
      const failedBelow = id !== undefined && this.runningIds.get(id) === true;
      if (id !== undefined) this.runningIds.delete(id);
      this.finishRun(waiting, upstream, { end, startedAtMs, failedBelow });
    });
  }

  private buildHeaders(call: GateCall, upstream: Upstream, remainingMs: number): string[] {
    const { names } = this.options;
    const left = String(Math.max(1, Math.floor(remainingMs)));
    return [...call.headers, names.deadline, left, names.upstreamId, upstream.id];
  }

  private finishRun(
    waiting: Waiting,
    upstream: Upstream,
    { end: result, startedAtMs, failedBelow }: Run,
  ): void {
    const serviceMs = this.options.clock() - startedAtMs;
    this.admission.release();
    const judged = this.judge(waiting, upstream, result, serviceMs);
    const end = judged.type === 'answered' ? { ...judged, failedBelow } : judged;
    if (waiting.state !== 'ended') finish(waiting, end);
    this.startNext();
  }

  /** Turns what the upstream did into the end of the attempt, and learns from it. */
  private judge(
    waiting: Waiting,
    upstream: Upstream,
    result: UpstreamEnd,
    serviceMs: number,
  ): AttemptEnd {
    const { names, log, clock } = this.options;
    if (waiting.state === 'ended') return { type: 'unknown', reason: UnknownReason.Cancelled };
    if (result.type === 'unsent') {
      this.recordFailure(1);
      this.unreachableUntilMs = clock() + UNREACHABLE_MS;
      log.warn('upstream-unreachable', { upstream: upstream.id, message: result.message });
      this.options.observe();
      return buildNotRun(NotRunReason.Unreachable);
    }
    if (result.type === 'broken' || !isOwnAnswer(result.answer, names)) {
      this.recordFailure(1);
      const message = result.type === 'broken' ? result.message : 'an answer without a signature';
      const call = findField(waiting.call.headers, names.callId);
      log.warn('upstream-broken', { call, upstream: upstream.id, message, serviceMs });
      return { type: 'unknown', reason: UnknownReason.Broken };
    }
    const { answer } = result;
    if (isTurnedAway(answer, names)) return this.takeTurnedAway(upstream, answer);
    this.recordFailure(answer.status >= SERVER_ERROR ? 1 : 0);
    this.times.record(waiting.kind, serviceMs);
    const queuedMs = clock() - serviceMs - waiting.arrivedAtMs;
    return { type: 'answered', answer, serviceMs, queuedMs, failedBelow: false };
  }

  private takeTurnedAway(upstream: Upstream, answer: Answer): AttemptEnd {
    const { log } = this.options;
    this.recordFailure(1);
    log.info('upstream-shed', { upstream: upstream.id, status: answer.status });
    if (answer.status === MISDIRECTED && this.upstream?.id === upstream.id) {
      this.setUpstream({ ...upstream, state: 'gone' });
    }
    return buildNotRun(NotRunReason.Shed, 0, true);
  }

  private recordFailure(failed: 0 | 1): void {
    this.failureRate += FAILURE_WEIGHT * (failed - this.failureRate);
  }

  private startNext(): void {
    const nowMs = this.options.clock();
    this.refuseLate(nowMs);
    for (;;) {
      const next = this.admission.takeNext(nowMs);
      if (next === undefined) return;
      this.start(next);
    }
  }

  private refuseLate(nowMs: number): void {
    this.admission.evictLate(nowMs).forEach((call) => {
      this.refuse(call, NotRunReason.Overtaken, OVERTAKEN_RETRY_MS);
    });
  }

  private startSweep(): void {
    if (this.sweep !== undefined) return;
    this.sweep = setTimeout(() => {
      this.sweep = undefined;
      this.refuseLate(this.options.clock());
      if (this.admission.getLoad().waiting > 0) this.startSweep();
    }, SWEEP_MS);
  }

  private cancel(held: Waiting): void {
    const waiting = held;
    if (waiting.state === 'waiting' && this.admission.remove(waiting)) {
      finish(waiting, buildNotRun(NotRunReason.Cancelled));
    } else if (waiting.state === 'running') {
      finish(waiting, { type: 'unknown', reason: UnknownReason.Cancelled });
      waiting.running?.cancel();
    }
  }

  public setUpstream(next: Upstream | undefined): void {
    const before = this.upstream;
    this.upstream = next;
    const isOpen = next?.state === 'ready' && !this.isDraining;
    this.admission.setCapacity(isOpen ? next.capacity : 0);
    if (before?.id !== next?.id) this.unreachableUntilMs = 0;
    if (!isOpen) this.refuseWaiting();
    if (before?.id === next?.id && before?.state === next?.state) return;
    this.options.log.info('upstream-changed', {
      upstream: next?.id,
      service: next?.service,
      state: next?.state ?? 'unknown',
      capacity: next?.capacity,
      sequence: next?.sequence,
    });
    this.options.observe();
  }

  private refuseWaiting(): void {
    this.admission.clear().forEach((call) => this.refuse(call, NotRunReason.Closed));
  }

  public getReport(): GateReport {
    const { upstream } = this;
    const service = upstream?.service ?? this.options.service;
    const { running, waiting } = this.admission.getLoad();
    return {
      service,
      open: this.findClosed(service, this.options.clock()) === undefined,
      capacity: upstream?.capacity ?? 0,
      load: running + waiting,
      serviceMs: Math.round(this.times.getMean()),
      failureRate: Math.round(this.failureRate * 100) / 100,
    };
  }

  public estimateServiceMs(kind: string, estimateCapMs: number): number {
    return this.times.estimate(kind, estimateCapMs);
  }

  public isRunning(callId: string): boolean {
    return this.runningIds.has(callId);
  }

  public recordFailureBelow(callId: string): void {
    if (this.runningIds.has(callId)) this.runningIds.set(callId, true);
  }

  public drain(): void {
    this.isDraining = true;
    this.admission.setCapacity(0);
    this.refuseWaiting();
    this.options.observe();
  }

  public close(): void {
    clearTimeout(this.sweep);
    this.refuseWaiting();
    this.pool.close();
  }
}

function finish(held: Waiting, end: AttemptEnd): void {
  const waiting = held;
  if (waiting.state === 'ended') return;
  waiting.state = 'ended';
  waiting.settle(end);
}

/** Time within which the answer has to be expected for a call to be let in, in milliseconds. */
function computeAdmissionMs({ isNested, remainingMs, targetMs }: GateCall): number {
  return isNested ? remainingMs * NESTED_PART : Math.min(targetMs, remainingMs);
}

/** A success without the upstream's signature was not made by it. */
function isOwnAnswer(answer: Answer, names: HeaderNames): boolean {
  const isSuccess = answer.status >= 200 && answer.status < 300;
  return !isSuccess || findField(answer.headers, names.signature) !== undefined;
}

function isTurnedAway({ status, headers }: Answer, names: HeaderNames): boolean {
  if (status === MISDIRECTED) return true;
  return SHED_STATUSES.has(status) && findField(headers, names.notRun) !== undefined;
}

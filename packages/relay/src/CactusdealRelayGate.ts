import { type CrashWatch, createCrashWatch, type Quarantine } from '@cactusdeal/quarantine';
import type { ByteBudget, ChunkPacer, Clock, Log } from '@cactusdeal/shared';
import {
  type Admission,
  type AdmissionOrganisations,
  createAdmission,
} from './CactusdealRelayAdmission.js';
import {
  hasRunWell,
  isShedAnswer,
  isUpstreamAnswer,
  MIN_SERVER_ERROR_STATUS,
  MISDIRECTED_STATUS,
} from './CactusdealRelayAnswerKind.js';
import { WARM_UP_FACTOR } from './CactusdealRelayBalancer.js';
import { createFailureRate, type FailureRate } from './CactusdealRelayFailureRate.js';
import { applyRateLimit } from './CactusdealRelayGateReport.js';
import { findField } from './CactusdealRelayHeaders.js';
import type { RequestResult } from './CactusdealRelayRolloutCounts.js';
import { createServiceTimes, type ServiceTimes } from './CactusdealRelayServiceTimes.js';
import { createTrackedCall, settleCall, type TrackedCall } from './CactusdealRelayTrackedCall.js';
import {
  type Answer,
  type Attempt,
  type AttemptEnd,
  buildNotRun,
  CallStage,
  type GateCall,
  type GateReport,
  type HeaderNames,
  isSameInstance,
  type NamedLimit,
  NotRunReason,
  UnknownReason,
  type Upstream,
} from './CactusdealRelayTypes.js';
import type { UplinkAdmission } from './CactusdealRelayUplinkAdmission.js';
import {
  createUpstreamPool,
  type UpstreamEnd,
  type UpstreamPool,
} from './CactusdealRelayUpstream.js';
import { createUpstreamLimit, type UpstreamLimit } from './CactusdealRelayUpstreamLimit.js';
import { hasLeavingSignal, readLimit } from './CactusdealRelayUpstreamSignals.js';
import { createWarmUpTimes } from './CactusdealRelayWarmUp.js';

/** Admission control in front of the upstream on this host; forwards the admitted calls to it. */
export interface Gate {
  /** Starts, queues or refuses a call; `usesUplink` if its answer leaves the host. */
  serve(call: GateCall, usesUplink?: boolean): Attempt;
  /** Sets the upstream's latest known state; undefined if its state is unknown. */
  setUpstream(upstream: Upstream | undefined): void;
  /** The gate's current state and load, as reported to other daemons. */
  getReport(): GateReport;
  /**
   * Expected service time of a call, in milliseconds; at most `estimateCapMs` while its kind has no
   * samples.
   */
  estimateServiceMs(kind: string, estimateCapMs: number): number;
  /** Whether the upstream is running the call with this id. */
  isRunning(callId: string): boolean;
  /** The limit that the upstream names; undefined if there is none. */
  getLimit(): NamedLimit | undefined;
  /** Handles the limit of the upstream as another daemon knew it before this one's restart. */
  restoreLimit(limit: NamedLimit): void;
  /**
   * Records that a nested call, which the upstream made while running the call with this id,
   * failed.
   */
  recordNestedFailure(callId: string): void;
  /** Refuses all queued and new calls; running calls continue. */
  drain(): void;
  close(): void;
}

export interface GateOptions extends AdmissionOrganisations {
  /** `IP:PORT` of the upstream. */
  readonly address: string;
  /** Service of the upstream by the settings; used until a heartbeat names it. */
  readonly service: string;
  readonly names: HeaderNames;
  readonly clock: Clock;
  readonly pacer: ChunkPacer;
  /** Room for unfinished answers. */
  readonly answerBytes?: ByteBudget;
  /** Admission to the uplink of the host; undefined if its bandwidth is unknown. */
  readonly uplink?: UplinkAdmission<TrackedCall> | undefined;
  /** Called with each call that is refused for want of room on the uplink. */
  readonly recordUplinkRefusal?: () => void;
  readonly log: Log;
  /** Called when the gate may have opened or closed. */
  readonly observe: () => void;
  /** Called with each call that is sent to the upstream. */
  readonly recordSent: (isNested: boolean) => void;
  readonly quarantine: Quarantine;
  /** Called for each fingerprint among the calls that a crash of the upstream interrupted. */
  readonly recordInterruption: () => void;
  readonly recordCancelled: (stage: CallStage) => void;
  /** Called with the end of each request to the upstream. */
  readonly recordResult?: (result: RequestResult) => void;
  /**
   * Called when an answer says that its instance is about to stop, with the instance that the call was sent to, and
   * when it was sent.
   */
  readonly receiveLeaving: (upstream: Upstream, sentAtMs: number) => void;
}

/** How a request to the upstream ended. */
interface FinishedRequest {
  readonly end: UpstreamEnd;
  readonly startedAtMs: number;
  /** Whether a nested call that the upstream made for this one failed. */
  readonly nestedFailed: boolean;
}

/** How long the gate stays closed after a failed connection to its upstream. */
const UNREACHABLE_HOLD_MS = 300;
/** Time between checks of the queue for late calls, and for calls that a rate limit has held. */
const SWEEP_INTERVAL_MS = 25;
/** Retry-after of a call evicted from the queue. */
const OVERTAKEN_RETRY_MS = 100;
/** A call that is cancelled this soon after it was sent should not have been sent, in milliseconds. */
const NEEDLESS_RUN_MS = 25;
/** Largest body that is kept after the end of its call, to compute the fingerprint later. */
const MAX_KEPT_BODY_BYTES = 1024;

/** Creates the gate of one upstream. */
export function createGate(options: GateOptions): Gate {
  return new UpstreamGate(options);
}

class UpstreamGate implements Gate {
  private readonly serviceTimes: ServiceTimes = createServiceTimes();

  /** The same, slower while the upstream is warming up. */
  private readonly presentTimes: ServiceTimes;

  private readonly admission: Admission<TrackedCall>;

  private readonly pool: UpstreamPool;

  private readonly limit: UpstreamLimit;

  private readonly crashWatch: CrashWatch;

  private upstream: Upstream | undefined;

  private isDraining = false;

  private unreachableUntilMs = 0;

  /** End of the upstream's warm-up. */
  private warmUntilMs = -Infinity;

  private readonly failureRate: FailureRate;

  /** For each running call, by id: whether one of its nested calls failed. */
  private readonly nestedFailedById = new Map<string, boolean>();

  private sweepTimer: NodeJS.Timeout | undefined;

  public constructor(private readonly options: GateOptions) {
    const { address, names, clock, pacer, answerBytes: heldBytes, log } = options;
    this.failureRate = createFailureRate(clock);
    this.limit = createUpstreamLimit({ clock, log, observe: options.observe });
    this.presentTimes = createWarmUpTimes(this.serviceTimes, () =>
      this.getWarmUpLeftMs() === undefined ? 1 : WARM_UP_FACTOR,
    );
    this.admission = createAdmission<TrackedCall>(this.presentTimes, this.limit.rateLimit, options);
    this.pool = createUpstreamPool({ address, idField: names.callId, clock, pacer, heldBytes });
    this.crashWatch = createCrashWatch({
      recordCrash: (fingerprint, inFlight) => {
        options.recordInterruption();
        options.quarantine.recordCrash(fingerprint, inFlight);
      },
      clock,
      log,
    });
  }

  public serve(call: GateCall, usesUplink = false): Attempt {
    const nowMs = this.options.clock();
    let settle: (end: AttemptEnd) => void = () => {};
    const end = new Promise<AttemptEnd>((resolve) => {
      settle = resolve;
    });
    const { uplink, names } = this.options;
    const tracked: TrackedCall = createTrackedCall(call, names, nowMs, (attemptEnd) => {
      const isAnswered = attemptEnd.type === 'answered';
      uplink?.release(tracked, isAnswered ? attemptEnd.answer.body.byteLength : undefined);
      settle(attemptEnd);
    });
    this.admit(tracked, nowMs, usesUplink);
    return { end, cancel: () => this.cancel(tracked) };
  }

  private admit(tracked: TrackedCall, nowMs: number, usesUplink: boolean): void {
    const closedReason = this.findClosedReason(tracked.call.service, nowMs);
    if (closedReason !== undefined) {
      this.refuse(tracked, closedReason);
      return;
    }
    if (this.refuseQuarantined(tracked)) return;
    if (usesUplink && this.refuseForUplink(tracked, nowMs)) return;
    const decision = this.admission.admit(tracked, nowMs);
    if (usesUplink && decision.type !== 'refuse') this.options.uplink?.reserve(tracked);
    if (decision.type === 'start') {
      this.start(tracked);
    } else if (decision.type === 'wait') {
      this.refuseLate(nowMs);
      this.startSweep();
    } else {
      this.refuse(tracked, NotRunReason.Busy, decision.retryAfterMs);
    }
  }

  /** Refuses a call whose answer would cross the uplink too late; false if it would not. */
  private refuseForUplink(tracked: TrackedCall, nowMs: number): boolean {
    const serviceMs = this.presentTimes.estimate(tracked.kind, tracked.estimateCapMs);
    const waitMs = this.options.uplink?.computeWaitMs(tracked, serviceMs, nowMs) ?? 0;
    if (waitMs === 0) return false;
    this.options.recordUplinkRefusal?.();
    this.options.log.info('uplink-full', { waitMs: Math.round(waitMs) });
    this.refuse(tracked, NotRunReason.Busy, waitMs);
    return true;
  }

  /** Refuses a call that crashed upstreams; false if it is none. */
  private refuseQuarantined(tracked: TrackedCall): boolean {
    const { quarantine } = this.options;
    if (!quarantine.hasSuspects()) return false;
    const remainingMs = quarantine.getRemainingMs(tracked.getFingerprint());
    if (remainingMs > 0) this.refuse(tracked, NotRunReason.Quarantined, remainingMs);
    return remainingMs > 0;
  }

  private refuse(tracked: TrackedCall, reason: NotRunReason, retryAfterMs = 0): void {
    const { log, names, clock } = this.options;
    const { running, waiting: queued } = this.admission.getLoad();
    log.info('gate-refused', {
      call: findField(tracked.call.headers, names.callId),
      reason,
      organisation: tracked.organisation,
      upstream: this.upstream?.id,
      state: this.upstream?.state ?? 'unknown',
      capacity: this.upstream?.capacity,
      running,
      waiting: queued,
      serviceMs: Math.round(this.presentTimes.estimate(tracked.kind, tracked.estimateCapMs)),
      targetMs: Math.round(tracked.targetAtMs - clock()),
      waitedMs: Math.round(clock() - tracked.arrivedAtMs),
    });
    settleCall(tracked, buildNotRun(reason, retryAfterMs));
  }

  /** Why the gate refuses all calls; undefined if it is open. */
  private findClosedReason(service: string, nowMs: number): NotRunReason | undefined {
    const { upstream } = this;
    const isReady = upstream?.state === 'ready' && upstream.service === service;
    if (!isReady || this.isDraining) return NotRunReason.Closed;
    return nowMs < this.unreachableUntilMs ? NotRunReason.Unreachable : undefined;
  }

  private start(trackedCall: TrackedCall): void {
    const tracked = trackedCall;
    const { call } = tracked;
    const upstream = this.upstream as Upstream;
    const startedAtMs = this.options.clock();
    const id = findField(call.headers, this.options.names.callId);
    if (id !== undefined) this.nestedFailedById.set(id, false);
    this.limit.recordCall(call.isNested);
    this.options.recordSent(call.isNested);
    const request = this.pool.send({
      method: call.method,
      path: call.path,
      headers: this.buildHeaders(call, upstream, tracked.deadlineAtMs - startedAtMs),
      body: call.body,
      id,
    });
    tracked.state = 'running';
    tracked.sentAtMs = startedAtMs;
    tracked.request = request;
    void request.end.then(async (end) => {
      if (end.type === 'broken') await this.receiveInterrupted(tracked, upstream);
      const nestedFailed = id !== undefined && this.nestedFailedById.get(id) === true;
      if (id !== undefined) this.nestedFailedById.delete(id);
      this.finishRequest(tracked, upstream, { end, startedAtMs, nestedFailed });
    });
  }

  /** A process that ends after it has said that it leaves is no crash. */
  private async receiveInterrupted(
    { getFingerprint, state }: TrackedCall,
    { id }: Upstream,
  ): Promise<void> {
    const isLeaving = this.upstream?.id === id && this.upstream.state !== 'ready';
    if (state === 'ended' || isLeaving) return;
    const { address } = this.options;
    const inFlight = this.admission.getLoad().running;
    const fingerprint = getFingerprint();
    await this.crashWatch.receiveInterrupted({ address, fingerprint, inFlight });
  }

  private buildHeaders(call: GateCall, upstream: Upstream, remainingMs: number): string[] {
    const { names } = this.options;
    const remaining = String(Math.max(1, Math.floor(remainingMs)));
    return [...call.headers, names.deadline, remaining, names.upstreamId, upstream.id];
  }

  private finishRequest(
    tracked: TrackedCall,
    upstream: Upstream,
    { end: result, startedAtMs, nestedFailed }: FinishedRequest,
  ): void {
    const serviceMs = this.options.clock() - startedAtMs;
    this.admission.release();
    const isCancelled = tracked.state === 'ended';
    const { call } = tracked;
    const request = { call, upstream, end: result, serviceMs, nestedFailed, isCancelled };
    this.options.recordResult?.(request);
    if (result.type === 'answered') this.recordSignals(upstream, startedAtMs, result.answer);
    const attemptEnd = this.convertEnd(tracked, upstream, result, serviceMs);
    const limit = this.limit.get();
    const end =
      attemptEnd.type === 'answered' ? { ...attemptEnd, nestedFailed, limit } : attemptEnd;
    if (tracked.state !== 'ended') settleCall(tracked, end);
    this.startNext();
  }

  /**
   * Converts the end of a request to the end of the attempt; updates service times and failure
   * rate.
   */
  private convertEnd(
    tracked: TrackedCall,
    upstream: Upstream,
    result: UpstreamEnd,
    serviceMs: number,
  ): AttemptEnd {
    const { names, log, clock } = this.options;
    if (tracked.state === 'ended') return { type: 'unknown', reason: UnknownReason.Cancelled };
    if (result.type === 'unsent') {
      this.recordFailure(1);
      this.unreachableUntilMs = clock() + UNREACHABLE_HOLD_MS;
      this.crashWatch.receiveUnreachable(this.options.address);
      log.warn('upstream-unreachable', { upstream: upstream.id, message: result.message });
      this.options.observe();
      return buildNotRun(NotRunReason.Unreachable);
    }
    if (result.type === 'broken' || !isUpstreamAnswer(result.answer, names)) {
      this.recordFailure(1);
      const message =
        result.type === 'broken'
          ? result.message
          : `status ${result.answer.status} without the header field ${names.signature}`;
      const call = findField(tracked.call.headers, names.callId);
      const fingerprint = tracked.getFingerprint();
      log.warn('upstream-broken', { call, fingerprint, upstream: upstream.id, message, serviceMs });
      return { type: 'unknown', reason: UnknownReason.Broken };
    }
    const { answer } = result;
    if (isShedAnswer(answer, names)) return this.recordShed(upstream, answer);
    if (hasRunWell(answer, names)) this.recordSuccess(tracked);
    const hasFailed = answer.status >= MIN_SERVER_ERROR_STATUS;
    this.recordFailure(hasFailed ? 1 : 0);
    if (hasFailed) this.presentTimes.recordFailed(tracked.kind, serviceMs);
    else this.presentTimes.record(tracked.kind, serviceMs);
    const queuedMs = clock() - serviceMs - tracked.arrivedAtMs;
    return { type: 'answered', answer, serviceMs, queuedMs, nestedFailed: false, limit: undefined };
  }

  /** A large body is not kept until its fingerprint is needed. */
  private recordSuccess({ call, getFingerprint }: TrackedCall): void {
    const { quarantine } = this.options;
    const isLarge = (call.body?.byteLength ?? 0) > MAX_KEPT_BODY_BYTES;
    if (isLarge) quarantine.recordSuccess(getFingerprint());
    else quarantine.recordPendingSuccess(getFingerprint);
  }

  /** Records what the upstream says of itself in an answer. */
  private recordSignals(upstream: Upstream, sentAtMs: number, answer: Answer): void {
    this.recordLimit(upstream, sentAtMs, answer);
    if (hasLeavingSignal(answer.headers, this.options.names))
      this.options.receiveLeaving(upstream, sentAtMs);
  }

  /** Only an answer of the upstream itself tells that it no longer limits its calls. */
  private recordLimit(upstream: Upstream, sentAtMs: number, { headers }: Answer): void {
    const { names } = this.options;
    const isSigned = findField(headers, names.signature) !== undefined;
    readLimit(headers, names)
      .ifRight((callsPerSecond) => {
        if (callsPerSecond === undefined && !isSigned) return;
        this.limit.recordAnswer(upstream, sentAtMs, callsPerSecond);
      })
      .ifLeft(({ message }) => {
        this.options.log.warn('upstream-limit-invalid', { upstream: upstream.id, message });
      });
  }

  private recordShed(upstream: Upstream, answer: Answer): AttemptEnd {
    const { log } = this.options;
    this.recordFailure(1);
    log.info('upstream-shed', { upstream: upstream.id, status: answer.status });
    if (answer.status === MISDIRECTED_STATUS && isSameInstance(this.upstream, upstream)) {
      this.setUpstream({ ...upstream, state: 'gone' });
    }
    return buildNotRun(NotRunReason.Shed, 0, true);
  }

  private recordFailure(failed: 0 | 1): void {
    this.failureRate.record(failed);
  }

  private startNext(): void {
    const nowMs = this.options.clock();
    this.refuseLate(nowMs);
    for (;;) {
      const next = this.admission.takeNext(nowMs);
      if (next === undefined) return;
      if (this.refuseQuarantined(next)) this.admission.release();
      else this.start(next);
    }
  }

  private refuseLate(nowMs: number): void {
    this.admission.evictLate(nowMs).forEach((call) => {
      this.refuse(call, NotRunReason.Overtaken, OVERTAKEN_RETRY_MS);
    });
  }

  private startSweep(): void {
    if (this.sweepTimer !== undefined) return;
    this.sweepTimer = setTimeout(() => {
      this.sweepTimer = undefined;
      this.startNext();
      if (this.admission.getLoad().waiting > 0) this.startSweep();
    }, SWEEP_INTERVAL_MS);
  }

  private cancel(trackedCall: TrackedCall): void {
    const tracked = trackedCall;
    if (tracked.state === 'waiting' && this.admission.remove(tracked)) {
      this.options.recordCancelled(CallStage.Queue);
      settleCall(tracked, buildNotRun(NotRunReason.Cancelled));
    } else if (tracked.state === 'running') {
      this.recordCut(tracked);
      const { deadlineAtMs: untilMs } = tracked;
      const fingerprint = tracked.getFingerprint();
      this.crashWatch.receiveCancelled({ address: this.options.address, fingerprint, untilMs });
      settleCall(tracked, { type: 'unknown', reason: UnknownReason.Cancelled });
      tracked.request?.cancel();
    }
  }

  private recordCut({ call, arrivedAtMs, sentAtMs, deadlineAtMs }: TrackedCall): void {
    const { log, names, clock, recordCancelled } = this.options;
    const nowMs = clock();
    const ranMs = Math.round(nowMs - sentAtMs);
    recordCancelled(CallStage.Upstream);
    const writeLine = ranMs <= NEEDLESS_RUN_MS ? log.info : log.debug;
    writeLine('call-cut', {
      call: findField(call.headers, names.callId),
      upstream: this.upstream?.id,
      waitedMs: Math.round(sentAtMs - arrivedAtMs),
      ranMs,
      remainingMs: Math.round(deadlineAtMs - nowMs),
    });
  }

  public setUpstream(next: Upstream | undefined): void {
    const before = this.upstream;
    this.upstream = next;
    if (next !== undefined) this.limit.setUpstream(next);
    this.warmUntilMs = this.options.clock() + (next?.warmUpLeftMs ?? 0);
    const isOpen = next?.state === 'ready' && !this.isDraining;
    this.admission.setCapacity(isOpen ? next.capacity : 0);
    if (before?.id !== next?.id) this.unreachableUntilMs = 0;
    if (!isOpen) this.refuseWaiting();
    const isSameVersion = before?.softwareVersion === next?.softwareVersion;
    if (before?.id === next?.id && before?.state === next?.state && isSameVersion) return;
    this.options.log.info('upstream-changed', {
      upstream: next?.id,
      service: next?.service,
      state: next?.state ?? 'unknown',
      capacity: next?.capacity,
      sequence: next?.sequence,
      version: next?.softwareVersion,
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
    const nowMs = this.options.clock();
    const report = {
      service,
      open: this.findClosedReason(service, nowMs) === undefined,
      capacity: upstream?.capacity ?? 0,
      load: running + waiting,
      serviceMs: Math.round(this.serviceTimes.getMean()),
      failureRate: Math.round(this.failureRate.get() * 100) / 100,
      warmUpLeftMs: this.getWarmUpLeftMs(),
      softwareVersion: upstream?.softwareVersion,
    };
    return applyRateLimit(report, this.limit.rateLimit, waiting, nowMs);
  }

  private getWarmUpLeftMs(): number | undefined {
    const leftMs = this.warmUntilMs - this.options.clock();
    return leftMs > 0 ? leftMs : undefined;
  }

  public estimateServiceMs(kind: string, estimateCapMs: number): number {
    return this.serviceTimes.estimate(kind, estimateCapMs);
  }

  public isRunning(callId: string): boolean {
    return this.nestedFailedById.has(callId);
  }

  public getLimit(): NamedLimit | undefined {
    return this.limit.get();
  }

  public restoreLimit(limit: NamedLimit): void {
    this.limit.restore(limit);
  }

  public recordNestedFailure(callId: string): void {
    if (this.nestedFailedById.has(callId)) this.nestedFailedById.set(callId, true);
  }

  public drain(): void {
    this.isDraining = true;
    this.admission.setCapacity(0);
    this.refuseWaiting();
    this.options.observe();
  }

  public close(): void {
    clearTimeout(this.sweepTimer);
    this.refuseWaiting();
    this.crashWatch.close();
    this.pool.close();
  }
}

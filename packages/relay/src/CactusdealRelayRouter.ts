import type { Quarantine } from '@cactusdeal/quarantine';
import type { Clock, DeferredTasks, Log, LogFields, Random } from '@cactusdeal/shared';
import { MIN_SERVER_ERROR_STATUS } from './CactusdealRelayAnswerKind.js';
import {
  type Choice,
  type ChoiceInput,
  chooseGate,
  type GateView,
} from './CactusdealRelayBalancer.js';
import { computeCallFingerprint } from './CactusdealRelayFingerprint.js';
import type { Gate } from './CactusdealRelayGate.js';
import type { GateQuery, Members } from './CactusdealRelayMembers.js';
import { formatRefusalKey } from './CactusdealRelayOrganisations.js';
import type { RetryBudget } from './CactusdealRelayRetryBudget.js';
import type { VersionChoice } from './CactusdealRelayRolloutChoice.js';
import { computeEstimateCapMs } from './CactusdealRelayServiceTimes.js';
import {
  type Answer,
  type Attempt,
  type AttemptEnd,
  buildNotRun,
  type GateCall,
  type GateReport,
  type HeaderNames,
  type Member,
  NotRunReason,
  UnknownReason,
} from './CactusdealRelayTypes.js';

/** A call to be routed. Times are on the entry's monotonic clock. */
export interface RoutedCall {
  readonly id: string | undefined;
  readonly call: Omit<GateCall, 'remainingMs' | 'targetMs'>;
  /** Most upstreams that the call may reach. */
  readonly maxAttempts: number;
  readonly startedAtMs: number;
  /** Last time at which its caller is known to have waited. */
  readonly wantedAtMs: number;
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
}

/** How a call ended at the entry. */
export type RoutedEnd =
  | { readonly type: 'answered'; readonly answer: Answer }
  | {
      readonly type: 'not-run';
      readonly reason: NotRunReason;
      readonly retryAfterMs: number;
    }
  | { readonly type: 'unknown'; readonly reason: UnknownReason };

/** A call that is being routed. */
export interface RunningCall {
  readonly end: Promise<RoutedEnd>;
  /** Stops routing and cancels the current attempt; the answer is no longer wanted. */
  cancel(): void;
}

/** Sends calls to gates and retries them at others where that is safe. */
export interface Router {
  route(routed: RoutedCall): RunningCall;
}

export interface RouterOptions {
  readonly self: Member;
  readonly names: HeaderNames;
  readonly gate: Gate;
  readonly members: Members;
  readonly retryBudget: RetryBudget;
  readonly quarantine: Quarantine;
  /** Undefined if all versions of upstreams' software may be used. */
  readonly versions?: VersionChoice;
  readonly deferredTasks: DeferredTasks;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/** Number of busy gates that one call may try; each refusal costs it time. */
const MAX_BUSY_GATES = 2;
/** Fraction of the latency target after which no further gate is tried. */
const SEARCH_FRACTION = 0.125;
/** Retry-after when no gate is eligible. */
const NO_UPSTREAM_RETRY_MS = 400;
/** Retry-after when every gate has just refused a similar call. */
const BUSY_RETRY_MS = 60;
/** How long a closed or unreachable gate gets no further calls. */
const AVOIDANCE_MS = 150;
/** Attempts of one call that may end without an answer and still be retried. */
const MAX_UNKNOWN_ENDS = 1;
/** Refusals after which the gate gets no further calls for a while, and another one is tried. */
const UNUSABLE_GATE_REASONS: ReadonlySet<NotRunReason> = new Set([
  NotRunReason.Closed,
  NotRunReason.Unreachable,
  NotRunReason.Unconfirmed,
]);
const TIMEOUT_STATUS = 504;

export function createRouter(options: RouterOptions): Router {
  return {
    route: (routed) => {
      const routing = new CallRouting(options, routed);
      return { end: routing.serve(), cancel: () => routing.cancel() };
    },
  };
}

/** Routes one call: attempts at one gate after another until one is final. */
class CallRouting {
  private readonly tried = new Set<string>();

  private currentAttempt: Attempt | undefined;

  private isCancelled = false;

  private upstreamAttempts = 0;

  private unknownEnds = 0;

  private busyGateCount = 0;

  private wantedAtMs: number;

  /** The caller gets this result if no further attempt is made. */
  private lastEnd: RoutedEnd | undefined;

  public constructor(
    private readonly options: RouterOptions,
    private readonly routed: RoutedCall,
  ) {
    this.wantedAtMs = routed.wantedAtMs;
  }

  public cancel(): void {
    this.isCancelled = true;
    this.currentAttempt?.cancel();
  }

  public async serve(): Promise<RoutedEnd> {
    const { retryBudget, deferredTasks, clock } = this.options;
    retryBudget.deposit(this.routed.call.service);
    for (;;) {
      const nowMs = clock();
      if (this.isCancelled) return this.lastEnd ?? buildNotRunEnd(NotRunReason.Cancelled);
      if (nowMs >= this.routed.deadlineAtMs)
        return this.lastEnd ?? buildNotRunEnd(NotRunReason.Expired);
      const quarantineMs = this.computeQuarantineMs();
      if (quarantineMs > 0)
        return this.lastEnd ?? buildNotRunEnd(NotRunReason.Quarantined, quarantineMs);
      const choice = this.choose(nowMs);
      if (choice.type !== 'gate') return this.lastEnd ?? buildNoGateEnd(choice);
      const gateView = choice.gate;
      this.tried.add(gateView.memberId);
      this.options.versions?.recordChoice(gateView.report);
      const end = await this.attempt(gateView, nowMs);
      this.options.versions?.recordEnd(gateView.report, end);
      if (!this.shouldContinue(gateView, end)) return this.lastEnd as RoutedEnd;
      // The caller's departure may have arrived together with this end.
      this.wantedAtMs = await deferredTasks.wait();
    }
  }

  /** How long the call is refused because it crashed upstreams, in milliseconds; 0 if it is not. */
  private computeQuarantineMs(): number {
    const { quarantine, names } = this.options;
    if (!quarantine.hasSuspects()) return 0;
    return quarantine.getRemainingMs(computeCallFingerprint(this.routed.call, names));
  }

  private choose(nowMs: number): Choice {
    const { members, random } = this.options;
    const { service, kind, priority, body } = this.routed.call;
    const targetMs = this.routed.targetAtMs - nowMs;
    const estimateCapMs = computeEstimateCapMs(targetMs);
    const refusalKey = formatRefusalKey(this.routed.call);
    const bodyBytes = body?.byteLength ?? 0;
    const query = { service, kind, estimateCapMs, refusalKey, bodyBytes };
    const listGates = (isLocal: boolean): readonly GateView[] => {
      const own = isLocal ? this.buildOwnView(query, nowMs) : undefined;
      const others = members.listGates(query, isLocal);
      return own === undefined ? others : [own, ...others];
    };
    const { tried } = this;
    const input = { listGates, tried, priority, targetMs, nowMs, random };
    return this.chooseByVersion(input, service);
  }

  /** Chooses among the gates whose upstreams' version may get the call. */
  private chooseByVersion(input: ChoiceInput, service: string): Choice {
    const { versions } = this.options;
    const listReports = (): readonly GateReport[] =>
      [...input.listGates(true), ...input.listGates(false)].map(({ report }) => report);
    const filters = versions?.listFilters(service, this.tried.size === 0, listReports);
    if (filters === undefined) return chooseGate(input);
    let choice: Choice = { type: 'none' };
    for (const accepts of filters) {
      const listGates = (isLocal: boolean): readonly GateView[] =>
        input.listGates(isLocal).filter(({ report }) => accepts(report.softwareVersion));
      choice = chooseGate({ ...input, listGates });
      if (choice.type === 'gate') break;
    }
    return choice;
  }

  private buildOwnView(
    { service, kind, estimateCapMs }: GateQuery,
    nowMs: number,
  ): GateView | undefined {
    const { self, gate } = this.options;
    const report = gate.getReport();
    if (report.service !== service) return undefined;
    return {
      memberId: self.id,
      isOwn: true,
      report,
      reportedAtMs: nowMs,
      unreportedCalls: 0,
      avoidedUntilMs: 0,
      refusal: undefined,
      serviceMs: gate.estimateServiceMs(kind, estimateCapMs),
      isWarmingUp: report.warmUpLeftMs !== undefined,
      overheadMs: 0,
    };
  }

  private async attempt(view: GateView, nowMs: number): Promise<AttemptEnd> {
    const { self, gate, members } = this.options;
    const isOwn = view.memberId === self.id;
    const attempt = isOwn
      ? gate.serve(this.buildGateCall(nowMs))
      : members.find(view.memberId)?.send(this.buildGateCall(this.wantedAtMs), this.wantedAtMs);
    if (attempt === undefined) return buildNotRun(NotRunReason.Unreachable);
    this.currentAttempt = attempt;
    const end = await attempt.end;
    this.currentAttempt = undefined;
    return end;
  }

  /** The call with the time that it has left at `atMs`. */
  private buildGateCall(atMs: number): GateCall {
    const { call, targetAtMs, deadlineAtMs } = this.routed;
    return { ...call, remainingMs: deadlineAtMs - atMs, targetMs: targetAtMs - atMs };
  }

  /** Records the end of an attempt; true if another attempt may follow. */
  private shouldContinue(view: GateView, end: AttemptEnd): boolean {
    this.logEnd(view, end);
    if (end.type === 'answered') return this.shouldRetryAnswer(end);
    if (end.type === 'unknown') return this.shouldRetryUnknown(end);
    this.lastEnd = mergeRefusal(this.lastEnd, end);
    if (end.reachedUpstream) return this.tryRetry(false);
    return this.shouldTryAnotherGate(view, end.reason);
  }

  /**
   * A failure caused by a failed nested call is not retried: the nested call has been retried already,
   * and retries at each level of a chain of services would multiply.
   */
  private shouldRetryAnswer({ answer, nestedFailed }: AttemptEnd & { type: 'answered' }): boolean {
    const isFailure = answer.status >= MIN_SERVER_ERROR_STATUS && answer.status !== TIMEOUT_STATUS;
    this.lastEnd = { type: 'answered', answer };
    return isFailure && !nestedFailed && this.routed.call.idempotent && this.tryRetry(true);
  }

  private shouldRetryUnknown(end: AttemptEnd & { type: 'unknown' }): boolean {
    if (this.lastEnd?.type !== 'answered') this.lastEnd = { type: 'unknown', reason: end.reason };
    if (end.reason === UnknownReason.Cancelled) return false;
    this.unknownEnds += 1;
    if (this.unknownEnds > MAX_UNKNOWN_ENDS) return false;
    return this.routed.call.idempotent && this.tryRetry(true);
  }

  /** Takes a retry from the budget; false if the call may reach no further upstream. */
  private tryRetry(mayHaveRun: boolean): boolean {
    this.upstreamAttempts += 1;
    if (this.upstreamAttempts >= this.routed.maxAttempts || this.isCancelled) return false;
    return this.options.retryBudget.tryWithdraw(this.routed.call.service, mayHaveRun);
  }

  /** Whether another gate may be tried after one refused the call. */
  private shouldTryAnotherGate(view: GateView, reason: NotRunReason): boolean {
    if (UNUSABLE_GATE_REASONS.has(reason)) {
      this.options.members.find(view.memberId)?.avoid(AVOIDANCE_MS);
      return true;
    }
    if (reason !== NotRunReason.Busy && reason !== NotRunReason.Overtaken) return false;
    this.busyGateCount += 1;
    const { startedAtMs, targetAtMs } = this.routed;
    const elapsedMs = this.options.clock() - startedAtMs;
    const isEarly = elapsedMs < (targetAtMs - startedAtMs) * SEARCH_FRACTION;
    return isEarly && this.busyGateCount < MAX_BUSY_GATES;
  }

  /**
   * Logs an answer below status 500 from the first gate at debug level, every other end at info
   * level.
   */
  private logEnd(view: GateView, end: AttemptEnd): void {
    const { log } = this.options;
    const isRoutine = end.type === 'answered' && end.answer.status < MIN_SERVER_ERROR_STATUS;
    if (isRoutine && this.tried.size === 1)
      log.debug('attempt-ended', () => this.buildEndFields(view, end));
    else log.info('attempt-ended', this.buildEndFields(view, end));
  }

  private buildEndFields({ memberId, report, reportedAtMs }: GateView, end: AttemptEnd): LogFields {
    const { id, call, startedAtMs, targetAtMs } = this.routed;
    const nowMs = this.options.clock();
    const isAnswered = end.type === 'answered';
    return {
      call: id,
      service: call.service,
      kind: call.kind,
      attempt: this.tried.size,
      gate: memberId,
      gateLoad: report.load,
      gateAgeMs: Math.round(nowMs - reportedAtMs),
      outcome: end.type,
      reason: isAnswered ? end.answer.status : end.reason,
      serviceMs: isAnswered ? Math.round(end.serviceMs) : undefined,
      queuedMs: isAnswered ? Math.round(end.queuedMs) : undefined,
      totalMs: Math.round(nowMs - startedAtMs),
      targetMs: Math.round(targetAtMs - startedAtMs),
    };
  }
}

function buildNoGateEnd({ type }: Choice): RoutedEnd {
  return type === 'busy'
    ? buildNotRunEnd(NotRunReason.Busy, BUSY_RETRY_MS)
    : buildNotRunEnd(NotRunReason.NoUpstream, NO_UPSTREAM_RETRY_MS);
}

function buildNotRunEnd(reason: NotRunReason, retryAfterMs = 0): RoutedEnd {
  return { type: 'not-run', reason, retryAfterMs };
}

/**
 * Keeps an earlier end that may have run the call: a later refusal must not report it as not run.
 */
function mergeRefusal(
  previous: RoutedEnd | undefined,
  end: AttemptEnd & { type: 'not-run' },
): RoutedEnd {
  if (previous !== undefined && previous.type !== 'not-run') return previous;
  const retryAfterMs =
    previous === undefined ? end.retryAfterMs : Math.min(previous.retryAfterMs, end.retryAfterMs);
  return { type: 'not-run', reason: end.reason, retryAfterMs };
}

import type { Clock, Log, LogFields, Random } from '@cactusdeal/shared';
import { type Choice, chooseGate, type GateView } from './CactusdealRelayBalancer.js';
import type { Gate } from './CactusdealRelayGate.js';
import type { GateQuery, Members } from './CactusdealRelayMembers.js';
import type { RetryAccount } from './CactusdealRelayRetryAccount.js';
import { computeEstimateCapMs } from './CactusdealRelayServiceTimes.js';
import {
  type Answer,
  type Attempt,
  type AttemptEnd,
  buildNotRun,
  type GateCall,
  type Member,
  NotRunReason,
  UnknownReason,
} from './CactusdealRelayTypes.js';

/** A call that looks for an upstream. */
export interface RoutedCall {
  readonly id: string | undefined;
  readonly call: Omit<GateCall, 'remainingMs' | 'targetMs'>;
  readonly maxAttempts: number;
  readonly startedAtMs: number;
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

/** A call under way. */
export interface RoutedRun {
  readonly end: Promise<RoutedEnd>;
  /** Nobody waits for the answer any more. */
  cancel(): void;
}

/** Leads calls to gates, and after an end that allows it to another one. */
export interface Router {
  route(routed: RoutedCall): RoutedRun;
}

export interface RouterOptions {
  readonly self: Member;
  readonly gate: Gate;
  readonly members: Members;
  readonly account: RetryAccount;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/** Gates that one call may ask for room; each refusal costs it time. */
const MAX_BUSY_GATES = 2;
/** Part of the target after which no further gate is asked for room. */
const SEARCH_PART = 0.125;
const NO_UPSTREAM_RETRY_MS = 400;
/** When all gates refused the like a moment ago. */
const BUSY_RETRY_MS = 60;
const AVOID_CLOSED_MS = 150;
const SERVER_ERROR = 500;
const TIMEOUT_STATUS = 504;

export function createRouter(options: RouterOptions): Router {
  return {
    route: (routed) => {
      const run = new CallRun(options, routed);
      return { end: run.serve(), cancel: () => run.cancel() };
    },
  };
}

/** One call on its way from gate to gate. */
class CallRun {
  private readonly tried = new Set<string>();

  private current: Attempt | undefined;

  private isCancelled = false;

  private sendings = 0;

  private busyGates = 0;

  /** What the caller gets when no further attempt can be made. */
  private last: RoutedEnd | undefined;

  public constructor(
    private readonly options: RouterOptions,
    private readonly routed: RoutedCall,
  ) {}

  public cancel(): void {
    this.isCancelled = true;
    this.current?.cancel();
  }

  public async serve(): Promise<RoutedEnd> {
    const { account, clock } = this.options;
    account.earn(this.routed.call.service);
    for (;;) {
      const nowMs = clock();
      if (this.isCancelled) return this.last ?? buildRefused(NotRunReason.Cancelled);
      if (nowMs >= this.routed.deadlineAtMs) return this.last ?? buildRefused(NotRunReason.Expired);
      const choice = this.choose(nowMs);
      if (choice.type !== 'gate') return this.last ?? buildUnplaced(choice);
      const view = choice.gate;
      this.tried.add(view.memberId);
      const end = await this.attempt(view, nowMs);
      if (!this.mayContinue(view, end)) return this.last as RoutedEnd;
    }
  }

  private choose(nowMs: number): Choice {
    const { members, random } = this.options;
    const { service, kind, priority } = this.routed.call;
    const targetMs = this.routed.targetAtMs - nowMs;
    const query = { service, kind, estimateCapMs: computeEstimateCapMs(targetMs) };
    return chooseGate({
      listGates: (isLocal) => {
        const own = isLocal ? this.buildOwnView(query, nowMs) : undefined;
        const others = members.listGates(query, isLocal);
        return own === undefined ? others : [own, ...others];
      },
      tried: this.tried,
      priority,
      targetMs,
      nowMs,
      random,
    });
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
      unreported: 0,
      avoidedUntilMs: 0,
      refusal: undefined,
      serviceMs: gate.estimateServiceMs(kind, estimateCapMs),
      overheadMs: 0,
    };
  }

  private async attempt(view: GateView, nowMs: number): Promise<AttemptEnd> {
    const { self, gate, members } = this.options;
    const { call, targetAtMs, deadlineAtMs } = this.routed;
    const sent = { ...call, remainingMs: deadlineAtMs - nowMs, targetMs: targetAtMs - nowMs };
    const isOwn = view.memberId === self.id;
    const attempt = isOwn ? gate.serve(sent) : members.find(view.memberId)?.send(sent);
    if (attempt === undefined) return buildNotRun(NotRunReason.Unreachable);
    this.current = attempt;
    const end = await attempt.end;
    this.current = undefined;
    return end;
  }

  /** Takes in how an attempt ended; whether a further one may follow. */
  private mayContinue(view: GateView, end: AttemptEnd): boolean {
    this.logEnd(view, end);
    if (end.type === 'answered') return this.mayFollowAnswer(end);
    if (end.type === 'unknown') return this.mayFollowUnknown(end);
    this.last = mergeRefusal(this.last, end);
    if (end.reachedUpstream) return this.maySendAgain(false);
    return this.mayAskAnother(view, end.reason);
  }

  /**
   * A failure that comes from below was repeated there as often as it may be; repeating it here too
   * would multiply the calls at each level of a chain.
   */
  private mayFollowAnswer({ answer, nestedFailed }: AttemptEnd & { type: 'answered' }): boolean {
    const isFailure = answer.status >= SERVER_ERROR && answer.status !== TIMEOUT_STATUS;
    this.last = { type: 'answered', answer };
    return isFailure && !nestedFailed && this.routed.call.idempotent && this.maySendAgain(true);
  }

  private mayFollowUnknown(end: AttemptEnd & { type: 'unknown' }): boolean {
    if (this.last?.type !== 'answered') this.last = { type: 'unknown', reason: end.reason };
    if (end.reason === UnknownReason.Cancelled) return false;
    return this.routed.call.idempotent && this.maySendAgain(true);
  }

  /** Whether the call may reach one more upstream. */
  private maySendAgain(mayHaveRun: boolean): boolean {
    this.sendings += 1;
    if (this.sendings >= this.routed.maxAttempts || this.isCancelled) return false;
    return this.options.account.spend(this.routed.call.service, mayHaveRun);
  }

  private mayAskAnother(view: GateView, reason: NotRunReason): boolean {
    if (reason === NotRunReason.Closed || reason === NotRunReason.Unreachable) {
      this.options.members.find(view.memberId)?.avoid(AVOID_CLOSED_MS);
      return true;
    }
    if (reason !== NotRunReason.Busy && reason !== NotRunReason.Overtaken) return false;
    this.busyGates += 1;
    const { startedAtMs, targetAtMs } = this.routed;
    const searchedMs = this.options.clock() - startedAtMs;
    const isEarly = searchedMs < (targetAtMs - startedAtMs) * SEARCH_PART;
    return isEarly && this.busyGates < MAX_BUSY_GATES;
  }

  /** A plain success at the first gate is routine; everything else is worth a line of a higher level. */
  private logEnd(view: GateView, end: AttemptEnd): void {
    const { log } = this.options;
    const isPlain = end.type === 'answered' && end.answer.status < SERVER_ERROR;
    const write = isPlain && this.tried.size === 1 ? log.debug : log.info;
    write('attempt-ended', this.buildEndFields(view, end));
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

function buildUnplaced({ type }: Choice): RoutedEnd {
  return type === 'busy'
    ? buildRefused(NotRunReason.Busy, BUSY_RETRY_MS)
    : buildRefused(NotRunReason.NoUpstream, NO_UPSTREAM_RETRY_MS);
}

function buildRefused(reason: NotRunReason, retryAfterMs = 0): RoutedEnd {
  return { type: 'not-run', reason, retryAfterMs };
}

/** What an earlier attempt may have done is not undone by a later refusal. */
function mergeRefusal(
  last: RoutedEnd | undefined,
  end: AttemptEnd & { type: 'not-run' },
): RoutedEnd {
  if (last !== undefined && last.type !== 'not-run') return last;
  const retryAfterMs =
    last === undefined ? end.retryAfterMs : Math.min(last.retryAfterMs, end.retryAfterMs);
  return { type: 'not-run', reason: end.reason, retryAfterMs };
}

import type { Clock } from '@cactusdeal/shared';
import { MIN_SERVER_ERROR_STATUS } from './CactusdealRelayAnswerKind.js';
import { type GateView, type Refusal, WARM_UP_FACTOR } from './CactusdealRelayBalancer.js';
import { createGateLatency } from './CactusdealRelayGateLatency.js';
import { type AttemptEnd, type GateReport, NotRunReason } from './CactusdealRelayTypes.js';

/** What an entry knows about the gate of another daemon, from its reports and the ends of calls. */
export interface KnownGate {
  receiveReport(report: GateReport): void;
  /** Handles the gate's load and failure rate, which came with the end of a call. */
  receiveLoad(load: GateLoad): void;
  /** Records that a call was sent to the gate. */
  recordSent(): void;
  /** Records the end of a call after `elapsedMs`. */
  recordEnd(call: EndedCall, end: AttemptEnd, elapsedMs: number): void;
  /** Records a call that was cancelled after `elapsedMs` without an answer. */
  recordAbandoned(kind: string, elapsedMs: number): void;
  /** Service of the gate; undefined until a report arrives. */
  getService(): string | undefined;
  /** The gate as input to the choice for a call; undefined until a report arrives. */
  getView(call: ComparedCall, avoidedUntilMs: number): GateView | undefined;
  /** Discards what the gate has reported; the observed latency stays. */
  forget(): void;
}

/** What the end of a call reports of its gate. */
export type GateLoad = Pick<GateReport, 'load' | 'failureRate'>;

/** A call for which gates are compared. */
export interface ComparedCall {
  readonly kind: string;
  /** Upper bound of the service-time estimate for a kind without samples, in milliseconds. */
  readonly estimateCapMs: number;
  /** What the call has in common with those that a busy gate refuses alike. */
  readonly refusalKey: string;
  /** Size of its body, in bytes; 0 by default. */
  readonly bodyBytes?: number;
}

/** What is kept of a call for its end. */
export interface EndedCall {
  readonly kind: string;
  readonly refusalKey: string;
  readonly targetMs: number;
  readonly bodyBytes: number;
}

/** Refusals kept; they count for a moment only. */
const MAX_REFUSALS = 200;

/** Creates the record of a gate that has not reported yet. */
export function createKnownGate(memberId: string, clock: Clock): KnownGate {
  const latency = createGateLatency(clock);
  /** The gate's last refusal because it was busy, by what refused calls have in common. */
  const refusals = new Map<string, Refusal>();
  let report: GateReport | undefined;
  let reportedAtMs = 0;
  let unreportedCalls = 0;
  /** End of the upstream's warm-up. */
  let warmUntilMs = -Infinity;
  return {
    receiveReport: (next) => {
      warmUntilMs = clock() + (next.warmUpLeftMs ?? 0);
      setReport(next);
    },
    receiveLoad: (load) => {
      if (report !== undefined) setReport({ ...report, ...load });
    },
    recordSent: () => {
      unreportedCalls += 1;
    },
    recordEnd: ({ kind, refusalKey, targetMs, bodyBytes }, end, elapsedMs) => {
      if (end.type === 'answered') {
        const { serviceMs, queuedMs, answer } = end;
        const record =
          answer.status >= MIN_SERVER_ERROR_STATUS ? latency.recordFailed : latency.recordAnswer;
        const slowFactor = isWarmingUp() ? WARM_UP_FACTOR : 1;
        record(kind, elapsedMs, serviceMs, queuedMs, { slowFactor, bodyBytes });
      }
      if (end.type === 'not-run' && end.reason === NotRunReason.Busy) {
        if (refusals.size >= MAX_REFUSALS) refusals.clear();
        refusals.set(refusalKey, { atMs: clock(), targetMs });
      }
    },
    recordAbandoned: (kind, elapsedMs) => latency.recordAbandoned(kind, elapsedMs),
    getService: () => report?.service,
    getView: ({ kind, estimateCapMs, refusalKey, bodyBytes = 0 }, avoidedUntilMs) => {
      if (report === undefined) return undefined;
      return {
        memberId,
        isOwn: false,
        report,
        reportedAtMs,
        unreportedCalls,
        avoidedUntilMs,
        refusal: refusals.get(refusalKey),
        serviceMs: latency.getServiceMs(kind) ?? Math.min(report.serviceMs, estimateCapMs),
        isWarmingUp: isWarmingUp(),
        overheadMs: latency.getOverheadMs() + latency.getTransferMs(bodyBytes),
      };
    },
    forget: () => {
      report = undefined;
      warmUntilMs = -Infinity;
      unreportedCalls = 0;
      refusals.clear();
    },
  };

  function isWarmingUp(): boolean {
    return clock() < warmUntilMs;
  }

  function setReport(next: GateReport): void {
    report = next;
    reportedAtMs = clock();
    unreportedCalls = 0;
  }
}

import type { Clock } from '@cactusdeal/shared';
import type { GateView, Refusal } from './CactusdealRelayBalancer.js';
import { createGateLatency } from './CactusdealRelayGateLatency.js';
import { type AttemptEnd, type GateReport, NotRunReason } from './CactusdealRelayTypes.js';

/** What an entry knows about the gate of another daemon, from its reports and the ends of calls. */
export interface KnownGate {
  receiveReport(report: GateReport): void;
  /** Handles the gate's load and failure rate, which came with the end of a call. */
  receiveNews(news: GateNews): void;
  /** Records that a call was sent to the gate. */
  recordSent(): void;
  /** Records the end of a call after `elapsedMs`. */
  recordEnd(call: EndedCall, end: AttemptEnd, elapsedMs: number): void;
  /** Records a call that was cancelled after `elapsedMs` without an answer. */
  recordAbandoned(kind: string, elapsedMs: number): void;
  /** Service of the gate; undefined until a report arrives. */
  getService(): string | undefined;
  /**
   * The gate as input to the choice; undefined until a report arrives. `estimateCapMs` bounds the
   * service time estimated for a kind without samples.
   */
  getView(kind: string, estimateCapMs: number, avoidedUntilMs: number): GateView | undefined;
  /** Discards what the gate has told; the observed latency stays. */
  forget(): void;
}

/** What the end of a call tells about its gate. */
export type GateNews = Pick<GateReport, 'load' | 'failureRate'>;

/** What is kept of a call for its end. */
export interface EndedCall {
  readonly kind: string;
  readonly targetMs: number;
}

/** Creates the record of a gate from which nothing was heard. */
export function createKnownGate(memberId: string, clock: Clock): KnownGate {
  const latency = createGateLatency(clock);
  /** The gate's last refusal because it was busy, by kind of call. */
  const refusals = new Map<string, Refusal>();
  let report: GateReport | undefined;
  let reportedAtMs = 0;
  let unreportedCalls = 0;
  return {
    receiveReport: setReport,
    receiveNews: (news) => {
      if (report !== undefined) setReport({ ...report, ...news });
    },
    recordSent: () => {
      unreportedCalls += 1;
    },
    recordEnd: ({ kind, targetMs }, end, elapsedMs) => {
      if (end.type === 'answered')
        latency.recordAnswer(kind, elapsedMs, end.serviceMs, end.queuedMs);
      else if (end.type === 'not-run' && end.reason === NotRunReason.Busy)
        refusals.set(kind, { atMs: clock(), targetMs });
    },
    recordAbandoned: (kind, elapsedMs) => latency.recordAbandoned(kind, elapsedMs),
    getService: () => report?.service,
    getView: (kind, estimateCapMs, avoidedUntilMs) => {
      if (report === undefined) return undefined;
      return {
        memberId,
        isOwn: false,
        report,
        reportedAtMs,
        unreportedCalls,
        avoidedUntilMs,
        refusal: refusals.get(kind),
        serviceMs: latency.getServiceMs(kind) ?? Math.min(report.serviceMs, estimateCapMs),
        overheadMs: latency.getOverheadMs(),
      };
    },
    forget: () => {
      report = undefined;
      unreportedCalls = 0;
      refusals.clear();
    },
  };

  function setReport(next: GateReport): void {
    report = next;
    reportedAtMs = clock();
    unreportedCalls = 0;
  }
}

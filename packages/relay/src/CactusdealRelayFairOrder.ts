/** What the order among organisations depends on. */
export interface FairRequest {
  /** Calls of more urgent priorities go first; 0 is the most urgent. */
  readonly priority: number;
  /** Latency target, in milliseconds. */
  readonly targetAtMs: number;
  /** Name of the caller's organisation; undefined if it has none. */
  readonly organisation?: string | undefined;
}

/** Computes the band of an organisation's call before which `queuedMs` of its service time start. */
export type ComputeBand = (organisation: string, queuedMs: number) => number;

/**
 * Orders queued calls by priority, then by the band that the use of their organisations has when they start,
 * then by earliest target. `calls` are in order of priority and target; without organisations they are
 * returned as they are.
 */
export function listInFairOrder<T extends FairRequest>(
  calls: readonly T[],
  computeBand: ComputeBand,
  computeServiceMs: (call: T) => number,
): readonly T[] {
  if (calls.every(({ organisation }) => organisation === undefined)) return calls;
  const queuedMs = new Map<string, number>();
  const banded = calls.map((call) => {
    const { organisation } = call;
    if (organisation === undefined) return { call, band: 0 };
    const aheadMs = queuedMs.get(organisation) ?? 0;
    queuedMs.set(organisation, aheadMs + computeServiceMs(call));
    return { call, band: computeBand(organisation, aheadMs) };
  });
  // The sort is stable, so that calls of one priority and band stay in the order of their targets.
  banded.sort((left, right) => left.call.priority - right.call.priority || left.band - right.band);
  return banded.map(({ call }) => call);
}

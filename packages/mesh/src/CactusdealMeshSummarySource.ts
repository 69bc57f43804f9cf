import type { MemberRecord, ServiceSummary, SummariesMessage } from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import {
  computeSummaries,
  computeSummariesHash,
  diffSummaries,
} from './CactusdealMeshSummaries.js';

/** States the services of this data centre to the others, as changes with rising stamps. */
export interface SummarySource {
  /** Everything, for a link that has just opened. */
  createFull(): SummariesMessage;
  /** What changed since the last call, or undefined. */
  takeChanges(): SummariesMessage | undefined;
  /** Raises later stamps above one that another data centre holds. */
  raiseStamp(heldMs: number): void;
  /** Hash of what this data centre would state now. */
  computeHash(): string;
}

/** Creates the source of one daemon. */
export function createSummarySource(
  dataCentre: string,
  listRecords: () => readonly MemberRecord[],
  clock: Clock,
): SummarySource {
  let stated: ReadonlyMap<string, ServiceSummary> = new Map();
  let stampMs = 0;

  function takeStamp(): number {
    stampMs = Math.max(stampMs + 1, clock());
    return stampMs;
  }

  return {
    createFull: () => {
      const summaries = [...computeSummaries(dataCentre, listRecords()).values()];
      return { type: 'summaries', stampMs: takeStamp(), isFull: true, summaries };
    },
    takeChanges: () => {
      const now = computeSummaries(dataCentre, listRecords());
      const summaries = diffSummaries(dataCentre, stated, now);
      stated = now;
      if (summaries.length === 0) return undefined;
      return { type: 'summaries', stampMs: takeStamp(), isFull: false, summaries };
    },
    raiseStamp: (heldMs) => {
      stampMs = Math.max(stampMs, heldMs);
    },
    computeHash: () =>
      computeSummariesHash([...computeSummaries(dataCentre, listRecords()).values()]),
  };
}

import type { ServiceSummary, SummariesMessage } from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import type { MemberTable } from './CactusdealMeshMembers.js';
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
  takeDelta(): SummariesMessage | undefined;
  /** Raises later stamps above one that another data centre holds. */
  advanceStamp(heldMs: number): void;
  /** Hash of what this data centre would state now. */
  computeHash(): string;
}

/** Creates the source of one daemon. */
export function createSummarySource(
  dataCentre: string,
  members: Pick<MemberTable, 'list' | 'changes'>,
  clock: Clock,
): SummarySource {
  let published: ReadonlyMap<string, ServiceSummary> = new Map();
  let stampMs = 0;
  /** Computed at the first use after the membership changed. */
  let current: ReadonlyMap<string, ServiceSummary> | undefined;
  let currentHash: string | undefined;
  members.changes.observe(() => {
    current = undefined;
    currentHash = undefined;
  });

  function getCurrent(): ReadonlyMap<string, ServiceSummary> {
    current ??= computeSummaries(dataCentre, members.list());
    return current;
  }

  function takeStamp(): number {
    stampMs = Math.max(stampMs + 1, clock());
    return stampMs;
  }

  return {
    createFull: () => {
      const summaries = [...getCurrent().values()];
      return { type: 'summaries', stampMs: takeStamp(), isFull: true, summaries };
    },
    takeDelta: () => {
      const now = getCurrent();
      if (now === published) return undefined;
      const summaries = diffSummaries(dataCentre, published, now);
      published = now;
      if (summaries.length === 0) return undefined;
      return { type: 'summaries', stampMs: takeStamp(), isFull: false, summaries };
    },
    advanceStamp: (heldMs) => {
      stampMs = Math.max(stampMs, heldMs);
    },
    computeHash: () => {
      currentHash ??= computeSummariesHash([...getCurrent().values()]);
      return currentHash;
    },
  };
}

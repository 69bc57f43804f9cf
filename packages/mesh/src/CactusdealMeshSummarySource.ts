import type { ServiceSummary, SummariesMessage } from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import type { MemberTable } from './CactusdealMeshMembers.js';
import {
  computeSummaries,
  computeSummariesHash,
  diffSummaries,
} from './CactusdealMeshSummaries.js';

/**
 * Creates the messages with the services of this data centre for the others, with increasing
 * stamps.
 */
export interface SummarySource {
  /** All services, for a link that was just opened or whose peer holds other ones. */
  createFull(): SummariesMessage;
  /** Changes since the last call, undefined without any. */
  takeDelta(): SummariesMessage | undefined;
  /** Makes all later stamps higher than one that another data centre holds. */
  advanceStamp(remoteStampMs: number): void;
  /** Hash of the current services. */
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
  /** Cached until the membership changes. */
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
    advanceStamp: (remoteStampMs) => {
      stampMs = Math.max(stampMs, remoteStampMs);
    },
    computeHash: () => {
      currentHash ??= computeSummariesHash([...getCurrent().values()]);
      return currentHash;
    },
  };
}

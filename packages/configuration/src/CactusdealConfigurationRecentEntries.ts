import type { LogEntry } from '@cactusdeal/schema';

const MAX_RECENT_ENTRIES = 512;
const MAX_RECENT_OPERATIONS = 50_000;

/** A buffer of the newest log entries, bounded by their number and their total operations. */
export interface RecentEntries {
  /** Adds the entry of the next version; discards the oldest entries beyond the bounds. */
  append(entry: LogEntry): void;
  /** Entries above `version` up to the head, in order; undefined when some were discarded. */
  getAfter(version: number, headVersion: number): readonly LogEntry[] | undefined;
  clear(): void;
}

/** Creates an empty buffer. Versions have to be appended without gaps. */
export function createRecentEntries(): RecentEntries {
  let entries: LogEntry[] = [];
  let operationCount = 0;
  return {
    append: (entry) => {
      entries.push(entry);
      operationCount += entry.operations.length;
      while (entries.length > MAX_RECENT_ENTRIES || operationCount > MAX_RECENT_OPERATIONS)
        discardOldest();
    },
    getAfter: (version, headVersion) => {
      if (version >= headVersion) return [];
      const first = entries[0]?.version;
      if (first === undefined || first > version + 1) return undefined;
      return entries.slice(version + 1 - first);
    },
    clear: () => {
      entries = [];
      operationCount = 0;
    },
  };

  function discardOldest(): void {
    operationCount -= entries.shift()?.operations.length ?? 0;
  }
}

import type { LogEntry } from '@cactusdeal/schema';

const MAX_ENTRIES = 512;
const MAX_OPERATIONS = 50_000;

/** The newest log entries, bounded by their number and by the operations in them. */
export interface RecentEntries {
  append(entry: LogEntry): void;
  /** Entries above `version` up to the head, in order; undefined when one of them is gone. */
  getAfter(version: number, headVersion: number): readonly LogEntry[] | undefined;
  clear(): void;
}

/** Creates an empty list of recent entries. Versions are appended without gaps. */
export function createRecentEntries(): RecentEntries {
  let entries: LogEntry[] = [];
  let operationCount = 0;
  return {
    append: (entry) => {
      entries.push(entry);
      operationCount += entry.operations.length;
      while (entries.length > MAX_ENTRIES || operationCount > MAX_OPERATIONS) discardOldest();
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

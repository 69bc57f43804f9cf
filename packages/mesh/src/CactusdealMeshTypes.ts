import type { LogEntry, MemberRecord, ServiceSummary, Snapshot, Worker } from '@cactusdeal/schema';
import type { Stream } from 'most';

/** Result of a survey of the version that each daemon of a data centre holds. */
export interface SurveyResult {
  /** Number of daemons that answered, this one included. */
  readonly answered: number;
  /** Number of daemons that are alive or suspect in the member table, this one included. */
  readonly expected: number;
  readonly lowestVersion: number;
  readonly highestVersion: number;
  /** Ids of daemons that hold an older version than the surveyed one; limited to 16. */
  readonly stragglers: readonly string[];
  /** Versions that daemons rejected; limited to 16. */
  readonly rejections: readonly MemberRejection[];
}

/** Rejection of one version by one daemon. */
export interface MemberRejection {
  readonly memberId: string;
  readonly version: number;
  readonly kind: string;
  readonly message: string;
}

/** Access of the mesh to the configuration that its daemon holds. */
export interface MeshState {
  /** Version in force. */
  getVersion(): number;
  /** Highest version seen, in force or rejected. */
  getHeadVersion(): number;
  /** Entries after the version, in order; undefined when some of them are no longer held. */
  getEntriesAfter(version: number): readonly LogEntry[] | undefined;
  getSnapshotWithHash(): { readonly snapshot: Snapshot; readonly hash: string };
  getRejections(): readonly MemberRejection[];
  /** Hands over an entry from a peer; returns whether it was new here. */
  acceptEntry(entry: LogEntry): boolean;
  /** Hands over a snapshot from a peer; returns whether it was accepted. */
  acceptSnapshot(snapshot: Snapshot, hash: string): boolean;
}

/** The mesh as one daemon sees and uses it. */
export interface Mesh {
  /** The member record of this daemon. */
  getSelf(): MemberRecord;
  /** All known members of this data centre in any state, this daemon included. */
  getMembers(): readonly MemberRecord[];
  /** Emits each changed member record of this data centre. */
  readonly memberChanges: Stream<MemberRecord>;
  /** Calls the listener as `memberChanges` emits; returns a function that removes it. */
  observeMembers(listener: (record: MemberRecord) => void): () => void;
  /** Replaces the worker in the own record, raises its incarnation and broadcasts it. */
  setWorker(worker: Worker | undefined): void;
  /** Services of the other data centres, as last received; empty for those long without a link. */
  getSummaries(): readonly ServiceSummary[];
  /**
   * Calls the listener with all summaries after each change; returns a function that removes it.
   */
  observeSummaries(listener: (summaries: readonly ServiceSummary[]) => void): () => void;
  /** Broadcasts an entry that this daemon read from the platform. */
  publishEntry(entry: LogEntry): void;
  /**
   * Broadcasts a small value in this data centre, for example a quarantined request, at most once
   * per topic and id.
   */
  publishNotice(topic: string, id: string, value: unknown): void;
  /** Calls the listener for each notice of another daemon, once per topic and id. */
  observeNotices(listener: (topic: string, value: unknown) => void): () => void;
  /** Surveys the versions held in this data centre, relative to the given version. */
  survey(version: number, timeoutMs: number): Promise<SurveyResult>;
  /** Counters for metrics: bytes and frames by direction and scope (`local` or `remote`). */
  getCounters(): Readonly<Record<string, number>>;
  /** Ids of the members to which this daemon holds connections. */
  getNeighbours(): readonly string[];
  /**
   * Whether this daemon is a reader candidate of its data centre; depends on the member table
   * alone.
   */
  isReaderCandidate(): boolean;
  /** Leaves the mesh: broadcasts that, then closes all connections and the listener. */
  close(): Promise<void>;
}

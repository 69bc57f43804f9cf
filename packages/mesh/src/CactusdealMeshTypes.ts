import type { LogEntry, MemberRecord, ServiceSummary, Snapshot, Worker } from '@cactusdeal/schema';
import type { Stream } from 'most';

/** Result of asking a data centre which version each daemon holds, aggregated on the way back. */
export interface SurveyResult {
  /** Daemons that answered, this one included. */
  readonly answered: number;
  /** Daemons that the membership holds as alive or suspect. */
  readonly expected: number;
  readonly lowestVersion: number;
  readonly highestVersion: number;
  /** Daemons below the surveyed version, a bounded number of names. */
  readonly stragglers: readonly string[];
  /** Daemons that keep a version out, a bounded number. */
  readonly rejections: readonly MemberRejection[];
}

/** One daemon's refusal of one version. */
export interface MemberRejection {
  readonly memberId: string;
  readonly version: number;
  readonly kind: string;
  readonly message: string;
}

/** What the mesh asks of the configuration that its daemon holds. */
export interface MeshState {
  getVersion(): number;
  /** Highest version seen, in force or rejected. */
  getHeadVersion(): number;
  /** Recent entries above the version, in order; undefined when they are no longer held. */
  getEntriesAfter(version: number): readonly LogEntry[] | undefined;
  getSnapshotWithHash(): { readonly snapshot: Snapshot; readonly hash: string };
  getRejections(): readonly MemberRejection[];
  /** Hands over an entry or snapshot that arrived from a peer; answers whether it was new here. */
  acceptEntry(entry: LogEntry): boolean;
  acceptSnapshot(snapshot: Snapshot, hash: string): boolean;
}

/** This daemon's place among the others. */
export interface Mesh {
  /** Own record as last announced. */
  getSelf(): MemberRecord;
  /** Every known member of this data centre, this one included, whatever its state. */
  getMembers(): readonly MemberRecord[];
  /** Emits each record of this data centre that changed. */
  readonly memberChanges: Stream<MemberRecord>;
  observeMembers(listener: (record: MemberRecord) => void): () => void;
  /** Replaces the worker in the own record, raises the incarnation and spreads it. */
  setWorker(worker: Worker | undefined): void;
  /** Services of the other data centres, as last heard. */
  getSummaries(): readonly ServiceSummary[];
  observeSummaries(listener: (summaries: readonly ServiceSummary[]) => void): () => void;
  /** Spreads an entry that this daemon read from the platform. */
  publishEntry(entry: LogEntry): void;
  /**
   * Spreads a small value in this data centre, for example a quarantined request; at most once per
   * id.
   */
  publishNotice(topic: string, id: string, value: unknown): void;
  /** Hears the notices that other daemons published, each id once. */
  observeNotices(listener: (topic: string, value: unknown) => void): () => void;
  /** Asks every daemon of the data centre for its version. */
  survey(version: number, timeoutMs: number): Promise<SurveyResult>;
  /** Counters for metrics: bytes and frames by direction and scope (`local` or `remote`). */
  getCounters(): Readonly<Record<string, number>>;
  /** Ids of the members to which this daemon holds connections. */
  getNeighbours(): readonly string[];
  /**
   * Whether this daemon is among the reader candidates of its data centre, from membership alone.
   */
  isReaderCandidate(): boolean;
  /** Leaves: tells the peers, flushes, closes every connection and the listener. */
  close(): Promise<void>;
}

import {
  createValidator,
  type DigestMessage,
  type EntriesMessage,
  type LogEntry,
  type Snapshot,
  type SnapshotMessage,
} from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import { encodeFrame } from './CactusdealMeshFrame.js';
import { checkValue } from './CactusdealMeshMessages.js';
import type { RemoteEndpoint } from './CactusdealMeshPeer.js';
import type { Router } from './CactusdealMeshRouter.js';
import { computeTableHash, type ReplicatedTable, type TableName } from './CactusdealMeshTable.js';
import {
  answerHashes,
  answerItems,
  answerItemVersions,
  sendBucketHashes,
} from './CactusdealMeshTableSync.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/**
 * Anti-entropy: two daemons compare digests of their configuration version and replicated tables,
 * and send each other what is missing.
 */
export interface Exchange {
  /** Sends a digest of the state held here; with `reply` the peer answers with its own. */
  sendDigest(peer: RemoteEndpoint, reply: boolean): void;
  /**
   * Sends entries, or a snapshot, to a peer whose head version is older than the version held here.
   */
  sendMissing(peer: RemoteEndpoint, headVersion: number): void;
  /** Registers the handlers of the exchange's messages. */
  register(router: Router<RemoteEndpoint>): void;
}

/** Dependencies and settings of the exchange. */
export interface ExchangeOptions {
  readonly state: MeshState;
  readonly tables: Readonly<Record<TableName, ReplicatedTable>>;
  /** Monotonic clock. */
  readonly clock: Clock;
  readonly wallClock: Clock;
  /** Minimum interval between two snapshots of the same version to one peer. */
  readonly snapshotIntervalMs: number;
  /** Called with each log entry that was new here. */
  readonly onEntry: (entry: LogEntry) => void;
  /** Called after a received snapshot was accepted. */
  readonly onSnapshot: () => void;
}

const validateEntry = createValidator<LogEntry>('configuration#/definitions/LogEntry');
const validateSnapshot = createValidator<Snapshot>('configuration#/definitions/Snapshot');

const MAX_ENTRIES_PER_MESSAGE = 500;
/** Most bytes of entries in one message; a single entry may be longer. */
const MAX_ENTRIES_BYTES = 1024 * 1024;
/** Snapshots sent for which peer, version and time are remembered. */
const MAX_REMEMBERED_SNAPSHOTS = 256;
/** Newer changes are not compared, because their broadcast may still be under way. */
const MIN_COMPARED_AGE_MS = 1000;

/** Validates a received log entry; throws FailureError of kind FrameMalformed. */
export function parseEntry(value: unknown): LogEntry {
  return checkValue(validateEntry, value);
}

/** Creates the exchange of one daemon. */
export function createExchange(options: ExchangeOptions): Exchange {
  const { state, tables } = options;
  const sentSnapshots = new Map<string, number>();

  function createDigest(reply: boolean, cutoffMs: number): DigestMessage {
    return {
      type: 'digest',
      version: state.getVersion(),
      headVersion: state.getHeadVersion(),
      membersHash: computeTableHash(tables.members, cutoffMs),
      summariesHash: computeTableHash(tables.summaries, cutoffMs),
      cutoffMs,
      reply,
    };
  }

  function sendMissing(peer: RemoteEndpoint, headVersion: number): void {
    if (state.getVersion() <= headVersion) return;
    const entries = state.getEntriesAfter(headVersion);
    if (entries === undefined) {
      sendSnapshot(peer);
      return;
    }
    splitEntries(entries).forEach((part) =>
      peer.send({ type: 'entries', entries: part as unknown as Record<string, unknown>[] }),
    );
  }

  function sendSnapshot(peer: RemoteEndpoint): void {
    const key = `${peer.id} ${state.getVersion()}`;
    const sentAtMs = sentSnapshots.get(key) ?? -Infinity;
    if (options.clock() - sentAtMs < options.snapshotIntervalMs) return;
    sentSnapshots.delete(key);
    sentSnapshots.set(key, options.clock());
    if (sentSnapshots.size > MAX_REMEMBERED_SNAPSHOTS) discardOldest(sentSnapshots);
    const { snapshot, hash } = state.getSnapshotWithHash();
    peer.send({ type: 'snapshot', snapshot: { ...snapshot }, hash });
  }

  function answerDigest(peer: RemoteEndpoint, digest: DigestMessage): void {
    sendMissing(peer, digest.headVersion);
    if (!digest.reply) return;
    const own = createDigest(false, digest.cutoffMs);
    if (own.membersHash !== digest.membersHash) {
      sendBucketHashes(peer, tables.members, digest.cutoffMs);
    }
    if (own.summariesHash !== digest.summariesHash) {
      sendBucketHashes(peer, tables.summaries, digest.cutoffMs);
    }
    peer.send(own);
  }

  function receiveEntries({ entries }: EntriesMessage): void {
    entries.map(parseEntry).forEach((entry) => {
      if (state.acceptEntry(entry)) options.onEntry(entry);
    });
  }

  function receiveSnapshot({ snapshot, hash }: SnapshotMessage): void {
    const checked = checkValue(validateSnapshot, snapshot);
    if (state.acceptSnapshot(checked, hash)) options.onSnapshot();
  }

  return {
    sendDigest: (peer, reply) =>
      peer.send(createDigest(reply, options.wallClock() - MIN_COMPARED_AGE_MS)),
    sendMissing,
    register: (router) => {
      router.handle('digest', answerDigest);
      router.handle('entries', (_, message) => receiveEntries(message));
      router.handle('snapshot', (_, message) => receiveSnapshot(message));
      router.handle('bucket-hashes', (peer, message) =>
        answerHashes(peer, tables[message.table], message),
      );
      router.handle('bucket-items', (peer, message) =>
        answerItemVersions(peer, tables[message.table], message),
      );
      router.handle('items', (peer, message) => answerItems(peer, tables[message.table], message));
    },
  };
}

/** Splits entries into parts that each fit into one message. */
export function splitEntries(entries: readonly LogEntry[]): LogEntry[][] {
  const parts: LogEntry[][] = [];
  let part: LogEntry[] = [];
  let partBytes = 0;
  entries.forEach((entry) => {
    const bytes = encodeFrame(entry).length;
    const isFull = part.length >= MAX_ENTRIES_PER_MESSAGE || partBytes + bytes > MAX_ENTRIES_BYTES;
    if (part.length === 0 || isFull) {
      part = [];
      partBytes = 0;
      parts.push(part);
    }
    part.push(entry);
    partBytes += bytes;
  });
  return parts;
}

function discardOldest(map: Map<string, number>): void {
  const [first] = map.keys();
  if (first !== undefined) map.delete(first);
}

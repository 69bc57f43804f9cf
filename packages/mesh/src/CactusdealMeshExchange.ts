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

/** Anti-entropy: compares what two daemons hold, and sends what one lacks. */
export interface Exchange {
  /** States what is held here; with `reply` the peer states its own in return. */
  sendDigest(peer: RemoteEndpoint, reply: boolean): void;
  /** Sends the version held to a peer whose head is an older one. */
  sendMissing(peer: RemoteEndpoint, headVersion: number): void;
  /** Registers the messages of the exchange with a router. */
  register(router: Router<RemoteEndpoint>): void;
}

/** What the exchange needs from its surroundings. */
export interface ExchangeOptions {
  readonly state: MeshState;
  readonly tables: Readonly<Record<TableName, ReplicatedTable>>;
  /** Monotonic. */
  readonly clock: Clock;
  readonly wallClock: Clock;
  /** Time in which one peer is sent the same snapshot only once. */
  readonly snapshotIntervalMs: number;
  /** Called with each log entry that was new here. */
  readonly onEntry: (entry: LogEntry) => void;
  readonly onSnapshot: () => void;
}

const validateEntry = createValidator<LogEntry>('configuration#/definitions/LogEntry');
const validateSnapshot = createValidator<Snapshot>('configuration#/definitions/Snapshot');

const MAX_ENTRIES_PER_MESSAGE = 500;
/** A message of several entries stays under this; one entry may be longer. */
const MAX_ENTRIES_BYTES = 1024 * 1024;
const MAX_REMEMBERED_SNAPSHOTS = 256;
/** Changes younger than this may still be spreading and are not compared. */
const SETTLE_MS = 1000;

/** Checks a value that arrived as a log entry; throws FailureError of kind FrameMalformed. */
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
    if (sentSnapshots.size > MAX_REMEMBERED_SNAPSHOTS) discardFirst(sentSnapshots);
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

  function takeEntries({ entries }: EntriesMessage): void {
    entries.map(parseEntry).forEach((entry) => {
      if (state.acceptEntry(entry)) options.onEntry(entry);
    });
  }

  function takeSnapshot({ snapshot, hash }: SnapshotMessage): void {
    const checked = checkValue(validateSnapshot, snapshot);
    if (state.acceptSnapshot(checked, hash)) options.onSnapshot();
  }

  return {
    sendDigest: (peer, reply) => peer.send(createDigest(reply, options.wallClock() - SETTLE_MS)),
    sendMissing,
    register: (router) => {
      router.handle('digest', answerDigest);
      router.handle('entries', (_, message) => takeEntries(message));
      router.handle('snapshot', (_, message) => takeSnapshot(message));
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

/** Splits entries into parts that each fit in a message. */
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

function discardFirst(map: Map<string, number>): void {
  const [first] = map.keys();
  if (first !== undefined) map.delete(first);
}

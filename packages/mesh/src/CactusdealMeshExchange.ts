import {
  createValidator,
  type BucketHashesMessage,
  type BucketMembersMessage,
  type DigestMessage,
  type EntriesMessage,
  type LogEntry,
  type MemberRecord,
  type RecordsMessage,
  type Snapshot,
  type SnapshotMessage,
} from '@cactusdeal/schema';
import { type Clock, FailureError } from '@cactusdeal/shared';
import { createMeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import { hashText } from './CactusdealMeshHash.js';
import { isNewer, type MemberTable } from './CactusdealMeshMembers.js';
import type { MeshMessage } from './CactusdealMeshMessages.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/** Sends to the other side of an exchange. */
export type SendMessage = (message: MeshMessage) => void;

/** Anti-entropy: compares what two daemons hold, and sends what one lacks. */
export interface Exchange {
  createDigest(reply: boolean): DigestMessage;
  /** Handles a message of the exchange; answers false for any other message. */
  handle(peerId: string, send: SendMessage, message: MeshMessage): boolean;
  /** Sends the version held to one that states an older one. */
  sendMissing(peerId: string, send: SendMessage, headVersion: number): void;
}

/** What the exchange needs from its surroundings. */
export interface ExchangeOptions {
  readonly state: MeshState;
  readonly members: MemberTable;
  readonly clock: Clock;
  /** Time in which one peer is sent the same snapshot only once. */
  readonly snapshotIntervalMs: number;
  readonly mergeRecords: (records: readonly MemberRecord[]) => void;
  /** Called with each log entry that was new here. */
  readonly onEntry: (entry: LogEntry) => void;
  readonly onSnapshot: () => void;
}

const validateEntry = createValidator<LogEntry>('configuration#/definitions/LogEntry');
const validateRecord = createValidator<MemberRecord>('messages#/definitions/MemberRecord');
const validateSnapshot = createValidator<Snapshot>('configuration#/definitions/Snapshot');

/** Most entries and records in one message. */
const MAX_ENTRIES = 500;
const MAX_RECORDS = 1000;
const MAX_REMEMBERED_SNAPSHOTS = 256;

/**
 * Checks a value that arrived as a log entry.
 *
 * @throws FailureError of kind FrameMalformed.
 */
export function parseEntry(value: unknown): LogEntry {
  return validateEntry(value).caseOf({ Right: (entry) => entry, Left: refuseValue });
}

/**
 * Checks a value that arrived as a member record.
 *
 * @throws FailureError of kind FrameMalformed.
 */
export function parseRecord(value: unknown): MemberRecord {
  return validateRecord(value).caseOf({ Right: (record) => record, Left: refuseValue });
}

/** Creates the exchange of one daemon. */
export function createExchange(options: ExchangeOptions): Exchange {
  const { state, members } = options;
  const sentSnapshots = new Map<string, number>();

  function createDigest(reply: boolean): DigestMessage {
    const version = state.getVersion();
    const headVersion = state.getHeadVersion();
    return { type: 'digest', version, headVersion, membersHash: hashTable(members), reply };
  }

  function sendMissing(peerId: string, send: SendMessage, headVersion: number): void {
    if (state.getVersion() <= headVersion) return;
    const entries = state.getEntriesAfter(headVersion);
    if (entries === undefined) {
      sendSnapshot(peerId, send);
      return;
    }
    for (let start = 0; start < entries.length; start += MAX_ENTRIES) {
      send({ type: 'entries', entries: entries.slice(start, start + MAX_ENTRIES) as never });
    }
  }

  function sendSnapshot(peerId: string, send: SendMessage): void {
    const key = `${peerId} ${state.getVersion()}`;
    const sentAtMs = sentSnapshots.get(key) ?? -Infinity;
    if (options.clock() - sentAtMs < options.snapshotIntervalMs) return;
    sentSnapshots.delete(key);
    sentSnapshots.set(key, options.clock());
    if (sentSnapshots.size > MAX_REMEMBERED_SNAPSHOTS) {
      sentSnapshots.delete(sentSnapshots.keys().next().value as string);
    }
    const { snapshot, hash } = state.getSnapshotWithHash();
    send({ type: 'snapshot', snapshot: snapshot as never, hash });
  }

  function handleDigest(peerId: string, send: SendMessage, digest: DigestMessage): void {
    sendMissing(peerId, send, digest.headVersion);
    const own = createDigest(false);
    if (digest.reply) send(own);
    if (digest.reply && own.membersHash !== digest.membersHash) {
      send({ type: 'bucket-hashes', hashes: [...members.getBucketHashes()] });
    }
  }

  function handleEntries({ entries }: EntriesMessage): void {
    entries.map(parseEntry).forEach((entry) => {
      if (state.acceptEntry(entry)) options.onEntry(entry);
    });
  }

  function handleSnapshot({ snapshot, hash }: SnapshotMessage): void {
    const checked = validateSnapshot(snapshot).caseOf({ Right: (it) => it, Left: refuseValue });
    if (state.acceptSnapshot(checked, hash)) options.onSnapshot();
  }

  return {
    createDigest,
    sendMissing,
    handle: (peerId, send, message) => {
      if (message.type === 'digest') handleDigest(peerId, send, message);
      else if (message.type === 'bucket-hashes') answerHashes(members, send, message);
      else if (message.type === 'bucket-members') answerMembers(members, send, message);
      else if (message.type === 'records') handleRecords(options, send, message);
      else if (message.type === 'entries') handleEntries(message);
      else if (message.type === 'snapshot') handleSnapshot(message);
      else return false;
      return true;
    },
  };
}

/** Names the records held in each part that differs. */
function answerHashes(members: MemberTable, send: SendMessage, message: BucketHashesMessage): void {
  const own = members.getBucketHashes();
  const buckets = own.flatMap((hash, index) => (hash === message.hashes[index] ? [] : [index]));
  const records = buckets.flatMap((index) => members.listBucket(index));
  const versions = records.map(({ id, incarnation, state }) => ({ id, incarnation, state }));
  send({ type: 'bucket-members', buckets, members: versions });
}

/** Sends the records that the peer lacks in the named parts, and asks for those lacking here. */
function answerMembers(
  members: MemberTable,
  send: SendMessage,
  message: BucketMembersMessage,
): void {
  const theirs = new Map(message.members.map((version) => [version.id, version]));
  const wanted = message.members
    .filter((version) => isNewer(version as MemberRecord, members.get(version.id)))
    .map((version) => version.id);
  const missing = message.buckets
    .flatMap((index) => members.listBucket(index))
    .filter((record) => isNewer(record, theirs.get(record.id) as MemberRecord | undefined));
  sendRecords(send, missing, wanted);
}

function handleRecords(
  options: ExchangeOptions,
  send: SendMessage,
  { records, wanted }: RecordsMessage,
): void {
  options.mergeRecords(records);
  const found = wanted.flatMap((id) => options.members.get(id) ?? []);
  if (found.length > 0) sendRecords(send, found, []);
}

function sendRecords(
  send: SendMessage,
  records: readonly MemberRecord[],
  wanted: readonly string[],
): void {
  send({ type: 'records', records: records.slice(0, MAX_RECORDS), wanted: [...wanted] });
  for (let start = MAX_RECORDS; start < records.length; start += MAX_RECORDS) {
    send({ type: 'records', records: records.slice(start, start + MAX_RECORDS), wanted: [] });
  }
}

function hashTable(members: MemberTable): string {
  return hashText(members.getBucketHashes().join(' ')).toString(36);
}

function refuseValue(failure: { readonly message: string }): never {
  throw new FailureError(createMeshFailure(MeshFailureKind.FrameMalformed, failure.message));
}

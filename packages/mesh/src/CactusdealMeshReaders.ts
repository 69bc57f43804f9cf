import type { MemberRecord } from '@cactusdeal/schema';
import { hashText } from './CactusdealMeshHash.js';
import type { MemberTable } from './CactusdealMeshMembers.js';

/** The current reader candidates of this data centre. */
export interface ReaderCandidates {
  list(): readonly MemberRecord[];
  isCandidate(id: string): boolean;
}

/**
 * Selects the reader candidates: the `count` alive members with the lowest hash of data centre and
 * id (rendezvous hashing, Thaler and Ravishankar 1998). Depends on the records alone, so daemons
 * with the same member table select the same candidates.
 */
export function selectReaders(records: readonly MemberRecord[], count: number): MemberRecord[] {
  return records
    .filter((record) => record.state === 'alive')
    .map((record) => ({ record, hash: hashText(`reader ${record.dataCentre} ${record.id}`) }))
    .sort((first, second) => first.hash - second.hash)
    .slice(0, count)
    .map(({ record }) => record);
}

/** Creates the selection; it is cached until the membership changes. */
export function createReaderCandidates(members: MemberTable, count: number): ReaderCandidates {
  let candidates: readonly MemberRecord[] | undefined;
  members.changes.observe(() => {
    candidates = undefined;
  });

  function list(): readonly MemberRecord[] {
    candidates ??= selectReaders(members.list(), count);
    return candidates;
  }

  return { list, isCandidate: (id) => list().some((record) => record.id === id) };
}

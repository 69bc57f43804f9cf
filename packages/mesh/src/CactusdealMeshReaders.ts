import type { MemberRecord } from '@cactusdeal/schema';
import { hashText } from './CactusdealMeshHash.js';
import type { MemberTable } from './CactusdealMeshMembers.js';

/** Which members are the reader candidates of this data centre now. */
export interface ReaderChoice {
  list(): readonly MemberRecord[];
  isChosen(id: string): boolean;
}

/**
 * Selects the reader candidates: the `count` alive members with the lowest hash of data centre and
 * id (rendezvous hashing, Thaler and Ravishankar 1998). A pure function of the membership.
 */
export function selectReaders(records: readonly MemberRecord[], count: number): MemberRecord[] {
  return records
    .filter((record) => record.state === 'alive')
    .map((record) => ({ record, hash: hashText(`reader ${record.dataCentre} ${record.id}`) }))
    .sort((first, second) => first.hash - second.hash)
    .slice(0, count)
    .map(({ record }) => record);
}

/** Creates a choice that is computed anew only after the membership changed. */
export function createReaderChoice(members: MemberTable, count: number): ReaderChoice {
  let chosen: readonly MemberRecord[] | undefined;
  members.changes.observe(() => {
    chosen = undefined;
  });

  function list(): readonly MemberRecord[] {
    chosen ??= selectReaders(members.list(), count);
    return chosen;
  }

  return { list, isChosen: (id) => list().some((record) => record.id === id) };
}

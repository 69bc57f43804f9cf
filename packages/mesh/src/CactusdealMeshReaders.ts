import type { MemberRecord } from '@cactusdeal/schema';
import { hashText } from './CactusdealMeshHash.js';

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

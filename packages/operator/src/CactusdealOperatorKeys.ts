/** Versions are padded with zeros to this many digits, so that keys sort in the order of versions. */
const VERSION_DIGITS = 12;

/** Key of the checkpoint's manifest. */
export const MANIFEST_KEY = 'checkpoint/manifest';

/** Key of the trim mark, which states how far the log is trimmed. */
export const TRIM_MARK_KEY = 'checkpoint/trim';
/** Key of the lease that selects the writer of checkpoints. */
export const CHECKPOINT_WRITER_KEY = 'checkpoint/writer';

/** Returns the key of a version's log entry. */
export function getLogKey(version: number): string {
  return `log/${String(version).padStart(VERSION_DIGITS, '0')}`;
}

/** Returns the key of a stored plan. */
export function getPlanKey(planId: string): string {
  return `plan/${planId}`;
}

/** Returns the key of a checkpoint's shard: the hash of its content, then the id of the write. */
export function getShardKey(hash: string, writeId: string): string {
  return `checkpoint/shard/${hash}-${writeId}`;
}

/** Returns the key of one of a data centre's reader slots. */
export function getReaderKey(dataCentre: string, slot: number): string {
  return `reader/${dataCentre}/${slot}`;
}

/** Returns the key of one of a data centre's roster slots. */
export function getRosterKey(dataCentre: string, slot: number): string {
  return `roster/${dataCentre}/${slot}`;
}

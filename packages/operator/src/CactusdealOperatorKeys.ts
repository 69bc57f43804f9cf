/** Digits of a version in a key, so that keys sort as versions do. */
const VERSION_DIGITS = 12;

/** Key of the checkpoint's manifest. */
export const MANIFEST_KEY = 'checkpoint/manifest';

/** Key that states how far the log is trimmed. */
export const TRIM_KEY = 'checkpoint/trim';
/** Key that the writer of checkpoints holds by its lease. */
export const CHECKPOINT_WRITER_KEY = 'checkpoint/writer';

/** Returns the key of the log entry that holds the version. */
export function getLogKey(version: number): string {
  return `log/${String(version).padStart(VERSION_DIGITS, '0')}`;
}

/** Returns the key of a stored plan. */
export function getPlanKey(planId: string): string {
  return `plan/${planId}`;
}

/** Returns the key of a checkpoint's shard: its content's hash, then the writer's own mark. */
export function getShardKey(hash: string, writerMark: string): string {
  return `checkpoint/shard/${hash}-${writerMark}`;
}

/** Returns the key of one of a data centre's reader slots. */
export function getReaderKey(dataCentre: string, slot: number): string {
  return `reader/${dataCentre}/${slot}`;
}

/** Returns the key of one of a data centre's contacts for daemons that start. */
export function getRosterKey(dataCentre: string, slot: number): string {
  return `roster/${dataCentre}/${slot}`;
}

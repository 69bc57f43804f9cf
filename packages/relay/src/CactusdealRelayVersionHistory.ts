import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { type Failure, formatCaught } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { applyPatch, createPatch, type Operation } from 'rfc6902';

/** A version on its way to another daemon: whole, or as what changed since one that it holds. */
export type VersionUpdate =
  | { readonly type: 'whole'; readonly bytes: Uint8Array }
  | { readonly type: 'delta'; readonly from: number; readonly bytes: Uint8Array };

/** The last versions that were in force here, as JSON texts. */
export interface VersionHistory {
  /** Takes in a version that came into force. */
  add(version: number, source: string): void;
  /** What a daemon that holds `from` needs for the newest version; undefined while there is none. */
  buildUpdate(from: number): VersionUpdate | undefined;
  /** The newest version's text after an update; a failure when the update is no such or builds on another version. */
  apply(update: VersionUpdate): Either<Failure, string>;
}

/** Versions that are kept for those who lag behind. */
const KEPT_VERSIONS = 4;

export function createVersionHistory(): VersionHistory {
  const sources = new Map<number, string>();
  const updates = new Map<number, VersionUpdate>();
  let newest = 0;
  return { add, buildUpdate, apply };

  function add(version: number, source: string): void {
    newest = version;
    sources.set(version, source);
    updates.clear();
    const [oldest] = sources.keys();
    if (sources.size > KEPT_VERSIONS && oldest !== undefined) sources.delete(oldest);
  }

  function buildUpdate(from: number): VersionUpdate | undefined {
    const source = sources.get(newest);
    if (source === undefined) return undefined;
    const known = sources.has(from) ? from : 0;
    const built = updates.get(known) ?? encodeUpdate(known, sources.get(known), source);
    updates.set(known, built);
    return built;
  }

  function apply(update: VersionUpdate): Either<Failure, string> {
    try {
      const text = inflateRawSync(update.bytes).toString('utf8');
      if (update.type === 'whole') return Right(text);
      const before = sources.get(update.from);
      if (before === undefined) return refuse(`it builds on version ${update.from}`);
      return applyDelta(before, text);
    } catch (caught) {
      return refuse(formatCaught(caught));
    }
  }
}

function encodeUpdate(from: number, before: string | undefined, after: string): VersionUpdate {
  if (before === undefined) return { type: 'whole', bytes: deflateRawSync(after) };
  const operations = createPatch(JSON.parse(before), JSON.parse(after));
  return { type: 'delta', from, bytes: deflateRawSync(JSON.stringify(operations)) };
}

function applyDelta(before: string, delta: string): Either<Failure, string> {
  const document = JSON.parse(before) as unknown;
  const [fault] = applyPatch(document, JSON.parse(delta) as Operation[]).filter(
    (result) => result !== null,
  );
  return fault === undefined ? Right(JSON.stringify(document)) : refuse(fault.message);
}

function refuse(message: string): Either<Failure, never> {
  return Left({ kind: 'VersionUpdateInvalid', message });
}

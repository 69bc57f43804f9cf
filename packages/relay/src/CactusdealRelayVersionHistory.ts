import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { type Failure, formatError } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { applyPatch, createPatch, type Operation } from 'rfc6902';

/**
 * A configuration version sent to another daemon: compressed JSON, or a compressed JSON patch
 * against a version which that daemon holds.
 */
export type VersionUpdate =
  | { readonly type: 'whole'; readonly bytes: Uint8Array }
  | { readonly type: 'delta'; readonly baseVersion: number; readonly bytes: Uint8Array };

/** The latest versions that were in force in this daemon, as JSON texts. */
export interface VersionHistory {
  /** Adds a version that came into force. */
  add(version: number, source: string): void;
  /** Builds the update from `baseVersion` to the newest version; undefined while there is none. */
  buildUpdate(baseVersion: number): VersionUpdate | undefined;
  /**
   * Decodes an update to the JSON text of its version; fails if it is malformed or its base version
   * is not held here.
   */
  apply(update: VersionUpdate): Either<Failure, string>;
}

/** Number of versions kept as bases for updates to daemons that lag behind. */
const KEPT_VERSIONS = 4;

export function createVersionHistory(): VersionHistory {
  const sources = new Map<number, string>();
  const updates = new Map<number, VersionUpdate>();
  let newestVersion = 0;
  return { add, buildUpdate, apply };

  function add(version: number, source: string): void {
    newestVersion = version;
    sources.set(version, source);
    updates.clear();
    const [oldest] = sources.keys();
    if (sources.size > KEPT_VERSIONS && oldest !== undefined) sources.delete(oldest);
  }

  function buildUpdate(baseVersion: number): VersionUpdate | undefined {
    const source = sources.get(newestVersion);
    if (source === undefined) return undefined;
    const heldVersion = sources.has(baseVersion) ? baseVersion : 0;
    const built =
      updates.get(heldVersion) ?? encodeUpdate(heldVersion, sources.get(heldVersion), source);
    updates.set(heldVersion, built);
    return built;
  }

  function apply(update: VersionUpdate): Either<Failure, string> {
    try {
      const text = inflateRawSync(update.bytes).toString('utf8');
      if (update.type === 'whole') return Right(text);
      const base = sources.get(update.baseVersion);
      if (base === undefined)
        return refuse(
          `base version ${update.baseVersion} is not held here, newest is ${newestVersion}`,
        );
      return applyDelta(base, text);
    } catch (caught) {
      return refuse(formatError(caught));
    }
  }
}

function encodeUpdate(
  baseVersion: number,
  base: string | undefined,
  target: string,
): VersionUpdate {
  if (base === undefined) return { type: 'whole', bytes: deflateRawSync(target) };
  const operations = createPatch(JSON.parse(base), JSON.parse(target));
  return { type: 'delta', baseVersion, bytes: deflateRawSync(JSON.stringify(operations)) };
}

function applyDelta(base: string, delta: string): Either<Failure, string> {
  const document = JSON.parse(base) as unknown;
  const [fault] = applyPatch(document, JSON.parse(delta) as Operation[]).filter(
    (result) => result !== null,
  );
  return fault === undefined ? Right(JSON.stringify(document)) : refuse(fault.message);
}

function refuse(message: string): Either<Failure, never> {
  return Left({ kind: 'VersionUpdateInvalid', message });
}

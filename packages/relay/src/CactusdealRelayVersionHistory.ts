import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { type Failure, formatError, parseJson } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import {
  applyOperations,
  diffDocuments,
  type DocumentOperation,
  isJsonDocument,
  type JsonDocument,
  shareEntries,
} from './CactusdealRelayDocument.js';

/**
 * A configuration version sent to another daemon: compressed JSON, or a compressed JSON patch
 * against a version which that daemon holds.
 */
export type VersionUpdate =
  | { readonly type: 'whole'; readonly bytes: Uint8Array }
  | { readonly type: 'delta'; readonly baseVersion: number; readonly bytes: Uint8Array };

/** The latest versions that were in force in this daemon. */
export interface VersionHistory {
  /** Adds a version that came into force, as a document or as its JSON text. */
  add(version: number, source: string | JsonDocument): void;
  /** Builds the update from `baseVersion` to the newest version; undefined while there is none. */
  buildUpdate(baseVersion: number): VersionUpdate | undefined;
  /**
   * Decodes an update to the JSON text of its version; fails if it is malformed or its base version
   * is not held here.
   */
  apply(update: VersionUpdate): Either<Failure, string>;
  /** The same, to a document that shares with the versions held here what is equal in both. */
  applyToDocument(update: VersionUpdate): Either<Failure, JsonDocument>;
  /** Parses the JSON text of a version to a document of that kind. */
  parse(text: string): Either<Failure, JsonDocument>;
}

/** Number of versions kept as bases for updates to daemons that lag behind. */
const KEPT_VERSIONS = 4;

export function createVersionHistory(): VersionHistory {
  const sources = new Map<number, string | JsonDocument>();
  const updates = new Map<number, VersionUpdate>();
  let newestVersion = 0;
  return {
    add,
    buildUpdate,
    apply: (update) => {
      if (update.type === 'whole') return decodeText(update);
      return applyToDocument(update).map((document) => JSON.stringify(document));
    },
    applyToDocument,
    parse,
  };

  function add(version: number, source: string | JsonDocument): void {
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
    const built = updates.get(heldVersion) ?? encodeUpdate(heldVersion, source);
    updates.set(heldVersion, built);
    return built;
  }

  function encodeUpdate(baseVersion: number, source: string | JsonDocument): VersionUpdate {
    const base = getDocument(baseVersion);
    const target = getDocument(newestVersion);
    if (base === undefined || target === undefined) {
      const text = typeof source === 'string' ? source : JSON.stringify(source);
      return { type: 'whole', bytes: deflateRawSync(text) };
    }
    const operations = diffDocuments(base, target);
    return { type: 'delta', baseVersion, bytes: deflateRawSync(JSON.stringify(operations)) };
  }

  function applyToDocument(update: VersionUpdate): Either<Failure, JsonDocument> {
    if (update.type === 'whole') return decodeText(update).chain(parse);
    const base = getDocument(update.baseVersion);
    if (base === undefined)
      return refuse(
        `base version ${update.baseVersion} is not held here, newest is ${newestVersion}`,
      );
    return decodeText(update)
      .chain(parseJson)
      .mapLeft(({ message }): Failure => ({ kind: 'VersionUpdateInvalid', message }))
      .chain((operations) =>
        Array.isArray(operations)
          ? applyOperations(base, operations as DocumentOperation[])
          : refuse(`found ${typeof operations}, allowed: a list of operations`),
      );
  }

  function parse(text: string): Either<Failure, JsonDocument> {
    return parseJson(text)
      .mapLeft(({ message }): Failure => ({ kind: 'ConfigurationInvalid', message }))
      .chain((value) => {
        if (!isJsonDocument(value))
          return Left({ kind: 'ConfigurationInvalid', message: 'is no JSON object' });
        const held = getDocument(newestVersion);
        return Right(held === undefined ? value : shareEntries(held, value));
      });
  }

  /** Undefined if the version is not held or is no JSON object. */
  function getDocument(version: number): JsonDocument | undefined {
    const source = sources.get(version);
    if (typeof source !== 'string') return source;
    const document = parseJson(source).toMaybe().extract();
    if (!isJsonDocument(document)) return undefined;
    sources.set(version, document);
    return document;
  }
}

function decodeText({ bytes }: VersionUpdate): Either<Failure, string> {
  try {
    return Right(inflateRawSync(bytes).toString('utf8'));
  } catch (caught) {
    return refuse(formatError(caught));
  }
}

function refuse(message: string): Either<Failure, never> {
  return Left({ kind: 'VersionUpdateInvalid', message });
}

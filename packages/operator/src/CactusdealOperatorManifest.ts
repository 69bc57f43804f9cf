import { createEmptySnapshot, hashSnapshot } from '@cactusdeal/configuration';
import type { Platform, PlatformFailure } from '@cactusdeal/platform';
import type { Manifest } from '@cactusdeal/schema';
import { type Either, Left, Right } from 'purify-ts';
import { createParser } from './CactusdealOperatorCodec.js';
import { MANIFEST_KEY } from './CactusdealOperatorKeys.js';
import { type LoadFailure, LoadFailureKind } from './CactusdealOperatorTypes.js';

/** The checkpoint's manifest with its revision, which a compare-and-swap needs. */
export interface ManifestRecord {
  readonly manifest: Manifest;
  /** 0 when the platform holds no manifest yet. */
  readonly revision: number;
}

const parseManifest = createParser<Manifest>('configuration#/definitions/Manifest');

/** Reads the manifest. If the platform holds none, returns one with the empty snapshot of version 0. */
export async function readManifest(
  platform: Platform,
): Promise<Either<LoadFailure, ManifestRecord>> {
  const found = await platform.get(MANIFEST_KEY);
  return found.mapLeft(toUnavailable).chain((record) => {
    if (record === undefined) return Right({ manifest: createEmptyManifest(), revision: 0 });
    const { revision } = record;
    return parseManifest(record.value)
      .map((manifest) => ({ manifest, revision }))
      .mapLeft(({ message }) => ({
        kind: LoadFailureKind.Corrupt,
        message: `manifest: ${message}`,
      }));
  });
}

/** Converts the failure of a platform call into a load failure of kind `Unavailable`. */
export function toUnavailable({ message }: PlatformFailure): LoadFailure {
  return { kind: LoadFailureKind.Unavailable, message };
}

/** Builds the result of a load that found inconsistent data in the platform. */
export function refuseCorrupt(message: string): Either<LoadFailure, never> {
  return Left({ kind: LoadFailureKind.Corrupt, message });
}

function createEmptyManifest(): Manifest {
  const hash = hashSnapshot(createEmptySnapshot());
  return {
    headVersion: 0,
    generations: [{ version: 0, hash, shards: [] }],
    entries: [],
  };
}

import type { Platform, PlatformFailure } from '@cactusdeal/platform';
import type { Intent, Plan, Snapshot } from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { storePlan } from './CactusdealOperatorConfirm.js';
import { planIntent } from './CactusdealOperatorPlan.js';
import { loadVersion } from './CactusdealOperatorLoad.js';
import {
  type LoadFailure,
  LoadFailureKind,
  type PlanContext,
  type PlanFailure,
  PlanFailureKind,
} from './CactusdealOperatorTypes.js';

/** Why an intent could not be planned, or its plan not stored. */
export type StoredPlanFailure = PlanFailure | LoadFailure | PlatformFailure;

/**
 * Plans an intent and stores the plan, so that any daemon can confirm it. For a revert, first loads
 * the snapshot of the version to revert to.
 */
export async function planAndStore(
  platform: Platform,
  context: PlanContext,
  intent: Intent,
  operator: string,
  clock: Clock,
): Promise<Either<StoredPlanFailure, Plan>> {
  const oldSnapshotResult = await loadOldSnapshot(platform, intent);
  if (oldSnapshotResult.isLeft()) return Left(oldSnapshotResult.extract());
  const oldSnapshot = oldSnapshotResult.unsafeCoerce();
  const fullContext = oldSnapshot === undefined ? context : { ...context, oldSnapshot };
  const planned = planIntent(fullContext, intent, operator, clock);
  if (planned.isLeft()) return planned;
  return storePlan(platform, planned.unsafeCoerce());
}

async function loadOldSnapshot(
  platform: Platform,
  intent: Intent,
): Promise<Either<StoredPlanFailure, Snapshot | undefined>> {
  if (intent?.type !== 'revert' || !Number.isSafeInteger(intent.toVersion)) return Right(undefined);
  const loaded = await loadVersion(platform, intent.toVersion);
  return loaded.mapLeft(({ kind, message }) => {
    if (kind === LoadFailureKind.Trimmed) return { kind: PlanFailureKind.VersionTrimmed, message };
    if (kind === LoadFailureKind.NeverInForce) {
      return { kind: PlanFailureKind.UnknownVersion, message };
    }
    return { kind, message };
  });
}

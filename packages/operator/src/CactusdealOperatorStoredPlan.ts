import type { Platform, PlatformFailure } from '@cactusdeal/platform';
import type { Intent, Plan, Snapshot } from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { storePlan } from './CactusdealOperatorConfirm.js';
import { planIntent } from './CactusdealOperatorPlan.js';
import { loadVersion } from './CactusdealOperatorStart.js';
import {
  type LoadFailure,
  LoadFailureKind,
  type PlanContext,
  type PlanFailure,
  PlanFailureKind,
} from './CactusdealOperatorTypes.js';

/** Why an intent has no stored plan. */
export type StoredPlanFailure = PlanFailure | LoadFailure | PlatformFailure;

/** Plans an intent, a revert included, and stores the plan so that any daemon can confirm it. */
export async function planAndStore(
  platform: Platform,
  context: PlanContext,
  intent: Intent,
  operator: string,
  clock: Clock,
): Promise<Either<StoredPlanFailure, Plan>> {
  const old = await loadOldSnapshot(platform, intent);
  if (old.isLeft()) return Left(old.extract());
  const oldSnapshot = old.unsafeCoerce();
  const full = oldSnapshot === undefined ? context : { ...context, oldSnapshot };
  const planned = planIntent(full, intent, operator, clock);
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

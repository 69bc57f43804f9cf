import { randomUUID } from 'node:crypto';
import {
  applyOperations,
  diffSnapshots,
  hashSnapshot,
  validateSnapshot,
  ViolationKind,
} from '@cactusdeal/configuration';
import { MAX_VALUE_BYTES } from '@cactusdeal/platform';
import {
  createValidator,
  type Intent,
  type Operation,
  type Plan,
  type Snapshot,
} from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { encodeValue } from './CactusdealOperatorCodec.js';
import { listEffects, listWarnings } from './CactusdealOperatorEffects.js';
import { buildOperations } from './CactusdealOperatorIntent.js';
import { type PlanContext, type PlanFailure, PlanFailureKind } from './CactusdealOperatorTypes.js';

const MAX_REPORTED_VIOLATIONS = 10;

const validateIntent = createValidator<Intent>('configuration#/definitions/Intent');

/**
 * Turns an intent into a plan: the log entry that a confirmation would append, the changes that the
 * entry makes and whom they affect, and warnings. Writes nothing to the platform. An intent to revert
 * needs `context.oldSnapshot`.
 */
export function planIntent(
  context: PlanContext,
  intent: Intent,
  operator: string,
  clock: Clock,
  createId: () => string = randomUUID,
): Either<PlanFailure, Plan> {
  return validateIntent(intent)
    .mapLeft(({ faults, message }) => {
      const lines = faults.map((fault) => `${fault.path}: ${fault.allowed}`);
      return buildFailure(PlanFailureKind.IntentInvalid, lines.join('; ') || message);
    })
    .chain((checked) => buildOperations(context, checked))
    .chain((operations) => buildNetChange(context, operations))
    .map(({ operations, result }) => {
      const entry = {
        version: context.headVersion + 1,
        baseVersion: context.snapshot.version,
        planId: createId(),
        operations,
        hash: hashSnapshot(result),
        operator,
        acceptedAtMs: clock(),
      };
      const effects = listEffects(context.snapshot, result, operations);
      const warnings = listWarnings(context, result, operations);
      return { id: entry.planId, entry, intent, effects, warnings };
    })
    .chain(checkPlanSize);
}

/** What an intent changes, reduced to the operations that have an effect. */
interface NetChange {
  readonly operations: Operation[];
  readonly result: Snapshot;
}

/**
 * Applies the operations to a copy of the snapshot and replaces them by the difference between the
 * two snapshots. Operations without an effect are dropped; a plan without any is refused, so that
 * the log holds no empty entry.
 */
function buildNetChange(
  context: PlanContext,
  operations: readonly Operation[],
): Either<PlanFailure, NetChange> {
  const { snapshot, headVersion } = context;
  const applied = applyOperations(snapshot, operations, headVersion + 1);
  return applied
    .mapLeft(({ message }) => buildFailure(PlanFailureKind.RuleBroken, message))
    .chain((result) => {
      const netOperations = diffSnapshots(snapshot, result);
      if (netOperations.length === 0) {
        const message = `the intent changes nothing: version ${snapshot.version} has this content already`;
        return Left(buildFailure(PlanFailureKind.NoChange, message));
      }
      return checkRules(result).map(() => ({ operations: netOperations, result }));
    });
}

/**
 * Checks the resulting snapshot. Fails with `ServiceInUse` when the only violations are routes or
 * drains that refer to an absent service, else with `RuleBroken`.
 */
function checkRules(result: Snapshot): Either<PlanFailure, Snapshot> {
  const violations = validateSnapshot(result);
  if (violations.length === 0) return Right(result);
  const isInUse = violations.every(
    ({ kind }) =>
      kind === ViolationKind.RouteToAbsentService || kind === ViolationKind.DrainOfAbsentService,
  );
  const lines = violations
    .slice(0, MAX_REPORTED_VIOLATIONS)
    .map((violation) => `${violation.kind}: ${violation.subject}: ${violation.message}`);
  const kind = isInUse ? PlanFailureKind.ServiceInUse : PlanFailureKind.RuleBroken;
  return Left(buildFailure(kind, lines.join('; ')));
}

function checkPlanSize(plan: Plan): Either<PlanFailure, Plan> {
  const { byteLength } = encodeValue(plan);
  if (byteLength <= MAX_VALUE_BYTES) return Right(plan);
  const message = `the plan is ${byteLength} bytes long, allowed are ${MAX_VALUE_BYTES}; split the intent into smaller ones`;
  return Left(buildFailure(PlanFailureKind.PlanTooLarge, message));
}

function buildFailure(kind: PlanFailureKind, message: string): PlanFailure {
  return { kind, message };
}

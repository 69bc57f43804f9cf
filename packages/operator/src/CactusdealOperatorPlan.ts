import { randomUUID } from 'node:crypto';
import {
  applyOperations,
  diffSnapshots,
  FaultKind,
  hashSnapshot,
  validateSnapshot,
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

const MAX_FAULTS_NAMED = 10;

const checkIntent = createValidator<Intent>('configuration#/definitions/Intent');

/**
 * Answers an intent with a plan: the entry that a confirmation would append to the log, what that
 * changes and whom it affects. Nothing is written. A revert needs `context.oldSnapshot`.
 */
export function planIntent(
  context: PlanContext,
  intent: Intent,
  operator: string,
  clock: Clock,
  createId: () => string = randomUUID,
): Either<PlanFailure, Plan> {
  return checkIntent(intent)
    .mapLeft(({ faults, message }) => {
      const lines = faults.map((fault) => `${fault.path}: ${fault.allowed}`);
      return buildFailure(PlanFailureKind.IntentInvalid, lines.join('; ') || message);
    })
    .chain((checked) => buildOperations(context, checked))
    .chain((operations) => applyToCopy(context, operations))
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
    .chain(refuseTooLarge);
}

interface Change {
  readonly operations: Operation[];
  readonly result: Snapshot;
}

/** Keeps only what changes something, so that the log holds no empty change. */
function applyToCopy(
  context: PlanContext,
  operations: readonly Operation[],
): Either<PlanFailure, Change> {
  const { snapshot, headVersion } = context;
  const applied = applyOperations(snapshot, operations, headVersion + 1);
  return applied
    .mapLeft(({ message }) => buildFailure(PlanFailureKind.RuleBroken, message))
    .chain((result) => {
      const needed = diffSnapshots(snapshot, result);
      if (needed.length === 0) {
        const message = `version ${snapshot.version} is so already`;
        return Left(buildFailure(PlanFailureKind.NoChange, message));
      }
      return refuseFaults(result).map(() => ({ operations: needed, result }));
    });
}

function refuseFaults(result: Snapshot): Either<PlanFailure, Snapshot> {
  const faults = validateSnapshot(result);
  if (faults.length === 0) return Right(result);
  const isInUse = faults.every(
    ({ kind }) =>
      kind === FaultKind.RouteToAbsentService || kind === FaultKind.DrainOfAbsentService,
  );
  const lines = faults
    .slice(0, MAX_FAULTS_NAMED)
    .map((fault) => `${fault.kind}: ${fault.subject}: ${fault.message}`);
  const kind = isInUse ? PlanFailureKind.ServiceInUse : PlanFailureKind.RuleBroken;
  return Left(buildFailure(kind, lines.join('; ')));
}

function refuseTooLarge(plan: Plan): Either<PlanFailure, Plan> {
  const { byteLength } = encodeValue(plan);
  if (byteLength <= MAX_VALUE_BYTES) return Right(plan);
  const message = `the plan has ${byteLength} bytes, allowed are ${MAX_VALUE_BYTES}; split the intent`;
  return Left(buildFailure(PlanFailureKind.PlanTooLarge, message));
}

function buildFailure(kind: PlanFailureKind, message: string): PlanFailure {
  return { kind, message };
}

import { diffSnapshots, getOwn } from '@cactusdeal/configuration';
import type {
  DrainWorkerIntent,
  Intent,
  Operation,
  RevertIntent,
  SetWeightsIntent,
  UndrainWorkerIntent,
} from '@cactusdeal/schema';
import { type Either, Left, Right } from 'purify-ts';
import {
  type KnownWorker,
  type PlanContext,
  type PlanFailure,
  PlanFailureKind,
} from './CactusdealOperatorTypes.js';

type Operations = Either<PlanFailure, readonly Operation[]>;

/** Builds the operations that carry out an intent, or returns why the intent is refused. */
export function buildOperations(context: PlanContext, intent: Intent): Operations {
  switch (intent.type) {
    case 'setWeights':
      return buildSetWeights(context, intent);
    case 'drainWorker':
      return buildDrain(context, intent);
    case 'undrainWorker':
      return buildUndrain(context, intent);
    case 'revert':
      return buildRevert(context, intent);
    default:
      return buildChanges(context, intent.operations);
  }
}

/** Merges the weights into the service; data centres that the intent does not name keep theirs. */
function buildSetWeights(context: PlanContext, intent: SetWeightsIntent): Operations {
  const { service: name, weights } = intent;
  const service = getOwn(context.snapshot.services, name);
  if (service === undefined) return refuseUnknownService(name);
  const next = { ...service, weights: { ...service.weights, ...weights } };
  return buildChanges(context, [{ type: 'setService', name, service: next }]);
}

function buildDrain(context: PlanContext, intent: DrainWorkerIntent): Operations {
  const { worker: name, service, reason } = intent;
  if (getOwn(context.snapshot.services, service) === undefined)
    return refuseUnknownService(service);
  const worker = context.getWorkers().find((known) => known.name === name);
  if (worker === undefined || worker.state === 'gone') {
    const message = `this daemon knows no announced worker ${name}; ask a daemon of the worker's data centre`;
    return refuse(PlanFailureKind.UnknownWorker, message);
  }
  if (!worker.services.includes(service)) {
    const message = `worker ${name} serves ${worker.services.join(', ')}, not ${service}`;
    return refuse(PlanFailureKind.WorkerOfOtherService, message);
  }
  const uncoveredService = worker.services.find(
    (served) => !hasOtherReadyWorker(context, served, name),
  );
  if (uncoveredService !== undefined) {
    const message = `this daemon knows no other ready worker of service ${uncoveredService}, which worker ${name} serves`;
    return refuse(PlanFailureKind.CapacityLost, message);
  }
  return Right([{ type: 'setDrain', name, drain: { service, reason } }]);
}

function hasOtherReadyWorker(context: PlanContext, service: string, drained: string): boolean {
  return findReadyWorkers(context, service).some((worker) => worker.name !== drained);
}

/** Lists the workers of the service that are ready and not drained. */
export function findReadyWorkers(context: PlanContext, service: string): readonly KnownWorker[] {
  const isReady = ({ state, services, name }: KnownWorker) =>
    state === 'ready' &&
    services.includes(service) &&
    !Object.hasOwn(context.snapshot.drains, name);
  return context.getWorkers().filter(isReady);
}

function buildUndrain(context: PlanContext, { worker }: UndrainWorkerIntent): Operations {
  if (Object.hasOwn(context.snapshot.drains, worker)) {
    return Right([{ type: 'removeDrain', name: worker }]);
  }
  return refuse(PlanFailureKind.NotDrained, `worker ${worker} is not drained`);
}

function buildRevert(context: PlanContext, { toVersion }: RevertIntent): Operations {
  if (context.oldSnapshot === undefined) {
    const message = `version ${toVersion} was never in force, or its snapshot is not known`;
    return refuse(PlanFailureKind.UnknownVersion, message);
  }
  return Right(diffSnapshots(context.snapshot, context.oldSnapshot));
}

/** Checks each operation against the snapshot and the operations before it in the same intent. */
function buildChanges(context: PlanContext, operations: readonly Operation[]): Operations {
  const earlierOperations = new Set<string>();
  for (const operation of operations) {
    const refusal = checkOperation(context, operation, earlierOperations);
    if (refusal !== undefined) return Left(refusal);
    earlierOperations.add(`${operation.type} ${operation.name}`);
  }
  return Right(operations);
}

function checkOperation(
  context: PlanContext,
  operation: Operation,
  earlierOperations: ReadonlySet<string>,
): PlanFailure | undefined {
  const { snapshot } = context;
  const { name } = operation;
  switch (operation.type) {
    case 'setService':
      return checkWeights(context, name, operation.service.weights);
    case 'removeService':
      if (Object.hasOwn(snapshot.services, name) || earlierOperations.has(`setService ${name}`))
        return undefined;
      return { kind: PlanFailureKind.UnknownService, message: `service ${name} does not exist` };
    case 'setRoute':
      if (Object.hasOwn(snapshot.services, operation.route.service)) return undefined;
      if (earlierOperations.has(`setService ${operation.route.service}`)) return undefined;
      return {
        kind: PlanFailureKind.UnknownService,
        message: `route ${name} refers to service ${operation.route.service}, which does not exist`,
      };
    case 'removeRoute':
      if (Object.hasOwn(snapshot.routes, name) || earlierOperations.has(`setRoute ${name}`))
        return undefined;
      return { kind: PlanFailureKind.UnknownRoute, message: `route ${name} does not exist` };
    case 'removeDrain':
      if (Object.hasOwn(snapshot.drains, name) || earlierOperations.has(`setDrain ${name}`))
        return undefined;
      return { kind: PlanFailureKind.NotDrained, message: `worker ${name} is not drained` };
    default:
      return checkDrain(context, operation.name, operation.drain.service);
  }
}

/** Checks a drain among other operations by the same rules as an intent to drain a worker. */
function checkDrain(
  context: PlanContext,
  worker: string,
  service: string,
): PlanFailure | undefined {
  const intent = { type: 'drainWorker', worker, service, reason: '' } as const;
  return buildDrain(context, intent).swap().toMaybe().extract();
}

function checkWeights(
  context: PlanContext,
  service: string,
  weights: Readonly<Record<string, number>>,
): PlanFailure | undefined {
  const { dataCentres } = context;
  if (dataCentres === undefined || dataCentres.length === 0) return undefined;
  const unknownDataCentre = Object.keys(weights).find((name) => !dataCentres.includes(name));
  if (unknownDataCentre !== undefined) {
    const message = `service ${service}: data centre ${unknownDataCentre} is not known; known are ${dataCentres.join(', ')}`;
    return { kind: PlanFailureKind.UnknownDataCentre, message };
  }
  if (dataCentres.some((name) => getOwn(weights, name) !== 0)) return undefined;
  const message = `service ${service}: the weights of all known data centres would be 0; one has to be above 0`;
  return { kind: PlanFailureKind.NoWeightLeft, message };
}

function refuseUnknownService(name: string): Operations {
  return refuse(PlanFailureKind.UnknownService, `service ${name} does not exist`);
}

function refuse(kind: PlanFailureKind, message: string): Operations {
  return Left({ kind, message });
}

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

/** Builds the operations that an intent asks for, or refuses it with its reason. */
export function buildOperations(context: PlanContext, intent: Intent): Operations {
  switch (intent.type) {
    case 'setWeights':
      return buildWeights(context, intent);
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

/** Data centres that the intent does not name keep their weights. */
function buildWeights(context: PlanContext, intent: SetWeightsIntent): Operations {
  const { service: name, weights } = intent;
  const service = getOwn(context.snapshot.services, name);
  if (service === undefined) return refuseService(name);
  const next = { ...service, weights: { ...service.weights, ...weights } };
  return buildChanges(context, [{ type: 'setService', name, service: next }]);
}

function buildDrain(context: PlanContext, intent: DrainWorkerIntent): Operations {
  const { worker: name, service, reason } = intent;
  if (getOwn(context.snapshot.services, service) === undefined) return refuseService(service);
  const worker = context.getWorkers().find((known) => known.name === name);
  if (worker === undefined || worker.state === 'gone') {
    const message = `no announced worker ${name} is known here; ask a daemon of its data centre`;
    return refuse(PlanFailureKind.UnknownWorker, message);
  }
  if (!worker.services.includes(service)) {
    const message = `worker ${name} serves ${worker.services.join(', ')}, not ${service}`;
    return refuse(PlanFailureKind.WorkerOfOtherService, message);
  }
  const lost = worker.services.find((served) => !hasOtherReady(context, served, name));
  if (lost !== undefined) {
    const message = `no other ready worker of service ${lost} is known`;
    return refuse(PlanFailureKind.CapacityLost, message);
  }
  return Right([{ type: 'setDrain', name, drain: { service, reason } }]);
}

function hasOtherReady(context: PlanContext, service: string, drained: string): boolean {
  return findReadyWorkers(context, service).some((worker) => worker.name !== drained);
}

/** Ready workers of the service that no drain names. */
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
    const message = `version ${toVersion} was never in force, or is not known`;
    return refuse(PlanFailureKind.UnknownVersion, message);
  }
  return Right(diffSnapshots(context.snapshot, context.oldSnapshot));
}

function buildChanges(context: PlanContext, operations: readonly Operation[]): Operations {
  const added = new Set<string>();
  for (const operation of operations) {
    const refusal = refuseOperation(context, operation, added);
    if (refusal !== undefined) return Left(refusal);
    added.add(`${operation.type} ${operation.name}`);
  }
  return Right(operations);
}

function refuseOperation(
  context: PlanContext,
  operation: Operation,
  added: ReadonlySet<string>,
): PlanFailure | undefined {
  const { snapshot } = context;
  const { name } = operation;
  switch (operation.type) {
    case 'setService':
      return refuseWeights(context, name, operation.service.weights);
    case 'removeService':
      if (Object.hasOwn(snapshot.services, name) || added.has(`setService ${name}`))
        return undefined;
      return { kind: PlanFailureKind.UnknownService, message: `no service ${name}` };
    case 'setRoute':
      if (Object.hasOwn(snapshot.services, operation.route.service)) return undefined;
      if (added.has(`setService ${operation.route.service}`)) return undefined;
      return {
        kind: PlanFailureKind.UnknownService,
        message: `route ${name} leads to service ${operation.route.service}, which does not exist`,
      };
    case 'removeRoute':
      if (Object.hasOwn(snapshot.routes, name) || added.has(`setRoute ${name}`)) return undefined;
      return { kind: PlanFailureKind.UnknownRoute, message: `no route ${name}` };
    case 'removeDrain':
      if (Object.hasOwn(snapshot.drains, name) || added.has(`setDrain ${name}`)) return undefined;
      return { kind: PlanFailureKind.NotDrained, message: `worker ${name} is not drained` };
    default:
      return refuseHiddenDrain(context, operation.name, operation.drain.service);
  }
}

/** A drain among other changes is held to the same rules as an intent to drain. */
function refuseHiddenDrain(
  context: PlanContext,
  worker: string,
  service: string,
): PlanFailure | undefined {
  const intent = { type: 'drainWorker', worker, service, reason: '' } as const;
  return buildDrain(context, intent).swap().toMaybe().extract();
}

function refuseWeights(
  context: PlanContext,
  service: string,
  weights: Readonly<Record<string, number>>,
): PlanFailure | undefined {
  const { dataCentres } = context;
  if (dataCentres === undefined || dataCentres.length === 0) return undefined;
  const unknown = Object.keys(weights).find((name) => !dataCentres.includes(name));
  if (unknown !== undefined) {
    const message = `service ${service}: no data centre ${unknown}, known are ${dataCentres.join(', ')}`;
    return { kind: PlanFailureKind.UnknownDataCentre, message };
  }
  if (dataCentres.some((name) => getOwn(weights, name) !== 0)) return undefined;
  const message = `service ${service}: no data centre would get a call`;
  return { kind: PlanFailureKind.NoWeightLeft, message };
}

function refuseService(name: string): Operations {
  return refuse(PlanFailureKind.UnknownService, `no service ${name}`);
}

function refuse(kind: PlanFailureKind, message: string): Operations {
  return Left({ kind, message });
}

import type { LogEntry, Operation, Route, Service, Snapshot } from '@cactusdeal/schema';
import fc from 'fast-check';
import { applyOperations, hashSnapshot, validateSnapshot } from '../index.js';

/** Builds a valid service. */
export function buildService(changes: Partial<Service> = {}): Service {
  return { tenant: 'oviedo', weights: { west: 1 }, queueLimit: 100, ...changes };
}

/** Builds a valid route. */
export function buildRoute(changes: Partial<Route> = {}): Route {
  return {
    service: 'records',
    method: 'GET',
    pathPrefix: '/records',
    rank: 'normal',
    class: 'browse',
    deadlineMs: 2000,
    effect: 'idempotent',
    share: 0.1,
    worth: 1,
    maxBodyBytes: 1024,
    ...changes,
  };
}

const NAMES = ['records', 'orders', 'photos', 'complaints'] as const;
const nameArbitrary = fc.constantFrom(...NAMES);

const serviceArbitrary = fc.record({
  tenant: fc.constantFrom('oviedo', 'hokkaido'),
  weights: fc.dictionary(fc.constantFrom('west', 'east'), fc.integer({ min: 0, max: 9 })),
  queueLimit: fc.integer({ min: 0, max: 100 }),
});

const routeArbitrary = fc
  .record({
    service: nameArbitrary,
    worth: fc.integer({ min: 0, max: 5 }),
    share: fc.double({ min: 0, max: 0.6, noNaN: true }),
  })
  .map((changes) => buildRoute(changes));

const anyOperationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
  fc.record({
    type: fc.constant('setService' as const),
    name: nameArbitrary,
    service: serviceArbitrary,
  }),
  fc.record({ type: fc.constant('removeService' as const), name: nameArbitrary }),
  fc.record({ type: fc.constant('setRoute' as const), name: nameArbitrary, route: routeArbitrary }),
  fc.record({ type: fc.constant('removeRoute' as const), name: nameArbitrary }),
  fc.record({
    type: fc.constant('setDrain' as const),
    name: nameArbitrary,
    drain: fc.record({ service: nameArbitrary, reason: fc.constant('repair') }),
  }),
  fc.record({ type: fc.constant('removeDrain' as const), name: nameArbitrary }),
);

/**
 * Operations that may or may not give a valid snapshot. They are cloned into plain objects, as a JSON
 * parser returns them.
 */
export const operationArbitrary = anyOperationArbitrary.map((value) => structuredClone(value));

/** How a generated log entry is corrupted, if at all. */
const corruptionArbitrary = fc.constantFrom('none', 'none', 'none', 'otherHash', 'otherBase');

/** Logs with consecutive versions, in which some entries have to be rejected by every daemon. */
export const logArbitrary: fc.Arbitrary<LogEntry[]> = fc
  .array(
    fc.tuple(fc.array(operationArbitrary, { minLength: 1, maxLength: 3 }), corruptionArbitrary),
    {
      minLength: 1,
      maxLength: 14,
    },
  )
  .map((changes) => changes.reduce(appendChange, { entries: [], base: EMPTY_SNAPSHOT }).entries);

interface LogState {
  readonly entries: LogEntry[];
  readonly base: Snapshot;
}

const EMPTY_SNAPSHOT: Snapshot = { version: 0, services: {}, routes: {}, drains: {} };

function appendChange(state: LogState, [operations, damage]: [Operation[], string]): LogState {
  const version = state.entries.length + 1;
  const applied = applyOperations(state.base, operations, version);
  const result = applied.orDefault({ ...state.base, version });
  const hash = damage === 'otherHash' ? 'f'.repeat(64) : hashSnapshot(result);
  const baseVersion = damage === 'otherBase' ? state.base.version + 1 : state.base.version;
  const entry = buildEntry({ version, baseVersion, operations, hash });
  const isAccepted =
    damage === 'none' && applied.isRight() && validateSnapshot(result).length === 0;
  return { entries: [...state.entries, entry], base: isAccepted ? result : state.base };
}

/** Builds a log entry from the given fields. */
export function buildEntry(
  fields: Pick<LogEntry, 'version' | 'baseVersion' | 'operations' | 'hash'>,
): LogEntry {
  return { planId: `plan-${fields.version}`, operator: 'ana', acceptedAtMs: 0, ...fields };
}

/** Builds the entry that applies the operations to the base, with the hash of their result. */
export function buildValidEntry(
  base: Snapshot,
  operations: Operation[],
  version: number,
): LogEntry {
  const result = applyOperations(base, operations, version).unsafeCoerce();
  const hash = hashSnapshot(result);
  return buildEntry({ version, baseVersion: base.version, operations, hash });
}

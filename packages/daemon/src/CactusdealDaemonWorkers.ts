import {
  createValidator,
  type SchemaFailure,
  type Worker,
  type WorkerAnnouncement,
} from '@cactusdeal/schema';
import { type Clock, type Failure, type Log } from '@cactusdeal/shared';
import type { LocalWorker } from '@cactusdeal/traffic';
import { type Either, Left, Right } from 'purify-ts';

/** Why an announcement was refused. */
export type AnnouncementFailure =
  SchemaFailure | Failure<'WorkerNameInvalid' | 'HostTaken' | 'WorkerUnknown'>;

/** The upstream on this host: announced, renewed, drained and forgotten. */
export interface LocalWorkers {
  getWorker(): LocalWorker | undefined;
  /** Takes an announcement or its renewal. */
  announce(name: string, body: unknown): Either<AnnouncementFailure, Worker>;
  remove(name: string): Either<AnnouncementFailure, undefined>;
  close(): void;
}

interface Held {
  readonly worker: Worker;
  readonly address: string;
  readonly renewedAtMs: number;
}

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const CHECKS_PER_LEASE = 6;

const validateAnnouncement = createValidator<WorkerAnnouncement>(
  'messages#/definitions/WorkerAnnouncement',
);

/**
 * Creates the registry of the one upstream that this host has.
 *
 * @param publish told of each change, undefined when the upstream has gone.
 */
export function createLocalWorkers(options: {
  readonly leaseMs: number;
  /** Never goes back; measures the lease. */
  readonly clock: Clock;
  /** Dates the moment when the upstream became ready. */
  readonly wallClock: Clock;
  readonly log: Log;
  readonly publish: (worker: Worker | undefined) => void;
}): LocalWorkers {
  const { leaseMs, clock, wallClock, log, publish } = options;
  let held: Held | undefined;
  const timer = setInterval(removeExpired, leaseMs / CHECKS_PER_LEASE);

  function removeExpired(): void {
    if (held === undefined || clock() - held.renewedAtMs < leaseMs) return;
    log.warn('worker-expired', { worker: held.worker.name, leaseMs });
    removeHeld();
  }

  function removeHeld(): void {
    held = undefined;
    publish(undefined);
  }

  function acceptAnnouncement(name: string, body: WorkerAnnouncement): Worker {
    const before = held?.worker;
    const readyAtMs = before?.state === 'ready' ? before.readyAtMs : Math.round(wallClock());
    const { address, ...rest } = body;
    const worker: Worker = { name, ...rest, readyAtMs };
    held = { worker, address, renewedAtMs: clock() };
    if (before === undefined || hasChanged(before, worker)) {
      log.info('worker-announced', { worker: name, state: worker.state, slots: worker.slots });
      publish(worker);
    }
    return worker;
  }

  return {
    getWorker: () => (held === undefined ? undefined : toLocalWorker(held)),
    announce: (name, body) => {
      if (!NAME_PATTERN.test(name)) {
        return Left({ kind: 'WorkerNameInvalid', message: `allowed: ${NAME_PATTERN.source}` });
      }
      if (held !== undefined && held.worker.name !== name) {
        return Left({ kind: 'HostTaken', message: `this host has worker ${held.worker.name}` });
      }
      return validateAnnouncement(body).map((valid) => acceptAnnouncement(name, valid));
    },
    remove: (name) => {
      if (held?.worker.name !== name) {
        return Left({ kind: 'WorkerUnknown', message: `no worker ${name} on this host` });
      }
      log.info('worker-left', { worker: name });
      removeHeld();
      return Right(undefined);
    },
    close: () => clearInterval(timer),
  };
}

function toLocalWorker({ worker, address }: Held): LocalWorker {
  const { name, services, slots, state } = worker;
  return { name, address, services, slots, state };
}

function hasChanged(before: Worker, after: Worker): boolean {
  return (
    before.state !== after.state ||
    before.slots !== after.slots ||
    before.services.join() !== after.services.join()
  );
}

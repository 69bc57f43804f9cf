import {
  createValidator,
  type SchemaFailure,
  type Worker,
  type WorkerAnnouncement,
} from '@cactusdeal/schema';
import { type Clock, type Failure, type Log } from '@cactusdeal/shared';
import type { LocalWorker } from '@cactusdeal/traffic';
import { type Either, Left, Right } from 'purify-ts';

/** Why the announcement or the removal of a worker was refused. */
export type AnnouncementFailure =
  SchemaFailure | Failure<'WorkerNameInvalid' | 'HostTaken' | 'WorkerUnknown'>;

/** Registry of the one upstream on this host, which announces itself and renews its lease. */
export interface LocalWorkers {
  getWorker(): LocalWorker | undefined;
  /**
   * Accepts a first announcement, a change or a renewal; `body` is a `WorkerAnnouncement` not yet
   * validated.
   */
  announce(name: string, body: unknown): Either<AnnouncementFailure, Worker>;
  /** Removes the upstream, which is leaving. */
  remove(name: string): Either<AnnouncementFailure, undefined>;
  close(): void;
}

interface Registration {
  readonly worker: Worker;
  readonly address: string;
  readonly renewedAtMs: number;
}

const WORKER_NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const EXPIRY_CHECKS_PER_LEASE = 6;

const validateAnnouncement = createValidator<WorkerAnnouncement>(
  'messages#/definitions/WorkerAnnouncement',
);

/**
 * Creates the registry; an upstream that does not renew its announcement within `leaseMs` is removed.
 *
 * @param publish called with each change of the worker, with undefined once it has left or expired.
 */
export function createLocalWorkers(options: {
  readonly leaseMs: number;
  /** Monotonic clock that measures the lease. */
  readonly clock: Clock;
  /** Gives the time at which the upstream became ready, in Unix milliseconds. */
  readonly wallClock: Clock;
  readonly log: Log;
  readonly publish: (worker: Worker | undefined) => void;
}): LocalWorkers {
  const { leaseMs, clock, wallClock, log, publish } = options;
  let registration: Registration | undefined;
  const expiryTimer = setInterval(removeExpired, leaseMs / EXPIRY_CHECKS_PER_LEASE);

  function removeExpired(): void {
    if (registration === undefined || clock() - registration.renewedAtMs < leaseMs) return;
    log.warn('worker-expired', { worker: registration.worker.name, leaseMs });
    removeRegistration();
  }

  function removeRegistration(): void {
    registration = undefined;
    publish(undefined);
  }

  function acceptAnnouncement(name: string, body: WorkerAnnouncement): Worker {
    const before = registration?.worker;
    const readyAtMs = before?.state === 'ready' ? before.readyAtMs : Math.round(wallClock());
    const { address, ...rest } = body;
    const worker: Worker = { name, ...rest, readyAtMs };
    registration = { worker, address, renewedAtMs: clock() };
    if (before === undefined || hasChanged(before, worker)) {
      log.info('worker-announced', { worker: name, state: worker.state, slots: worker.slots });
      publish(worker);
    }
    return worker;
  }

  return {
    getWorker: () => (registration === undefined ? undefined : toLocalWorker(registration)),
    announce: (name, body) => {
      if (!WORKER_NAME_PATTERN.test(name)) {
        return Left({
          kind: 'WorkerNameInvalid',
          message: `invalid worker name "${name}", allowed: ${WORKER_NAME_PATTERN.source}`,
        });
      }
      if (registration !== undefined && registration.worker.name !== name) {
        return Left({
          kind: 'HostTaken',
          message: `cannot announce worker ${name}: this host already has worker ${registration.worker.name}`,
        });
      }
      return validateAnnouncement(body).map((valid) => acceptAnnouncement(name, valid));
    },
    remove: (name) => {
      if (registration?.worker.name !== name) {
        return Left({
          kind: 'WorkerUnknown',
          message: `worker ${name} is not announced on this host`,
        });
      }
      log.info('worker-left', { worker: name });
      removeRegistration();
      return Right(undefined);
    },
    close: () => clearInterval(expiryTimer),
  };
}

function toLocalWorker({ worker, address }: Registration): LocalWorker {
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

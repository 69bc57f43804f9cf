import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  BodyFailureKind,
  type ByteBudget,
  type ChunkPacer,
  type Clock,
  createByteBudget,
  type DeferredTasks,
  type Log,
  parseAddress,
} from '@cactusdeal/shared';
import { type ReadBody, readBody } from './CactusdealRelayBody.js';
import {
  type BodyReservations,
  createBodyReservations,
} from './CactusdealRelayBodyReservations.js';
import {
  type CallerRequests,
  createCallerRequests,
  MAX_DEADLINE_MS,
} from './CactusdealRelayCallerRequest.js';
import { type Caller, type Callers, createCallers } from './CactusdealRelayCallers.js';
import { createDeadlines, type Deadlines } from './CactusdealRelayDeadlines.js';
import { findField } from './CactusdealRelayHeaders.js';
import { createMemoryBudgets } from './CactusdealRelayMemory.js';
import { checkApiKey, computeRank } from './CactusdealRelayOrganisations.js';
import type { QuotaLimiter } from './CactusdealRelayQuotas.js';
import { createResponder, type Responder } from './CactusdealRelayResponder.js';
import type { RoutedEnd, Router, RunningCall } from './CactusdealRelayRouter.js';
import type { CompiledRoute, RouteTable } from './CactusdealRelayRoutes.js';
import {
  type CallerLimits,
  CallStage,
  type HeaderNames,
  NotRunReason,
  type OrganisationRule,
  UnknownReason,
} from './CactusdealRelayTypes.js';
import {
  type CallIdentity,
  createUnservedCalls,
  type UnservedCalls,
} from './CactusdealRelayUnservedCalls.js';

/** HTTP server for the callers on this host, which include the upstream. */
export interface Entry {
  /** Applies the limits of the configuration in force. */
  setLimits(limits: CallerLimits): void;
  /** Counts the calls that have arrived and have not ended. */
  countCalls(): number;
  /**
   * Closes each caller's connection with its next response. A call that arrives from now on has to end by
   * `endAtMs`, on the entry's monotonic clock.
   */
  drain(endAtMs: number): void;
  /** Refuses all further calls as not run. */
  refuseCalls(): void;
  /** Cancels the running calls; their callers get the response that the calls may have run. */
  cancelCalls(): void;
  close(): void;
}

export interface EntryOptions {
  /** `IP:PORT` to listen on. */
  readonly address: string;
  /** Service of the upstream on this host, named to upstreams as the caller's service. */
  readonly callerService: string;
  readonly names: HeaderNames;
  readonly getRoutes: () => RouteTable | undefined;
  readonly router: Router;
  readonly deferredTasks: DeferredTasks;
  readonly clock: Clock;
  readonly pacer: ChunkPacer;
  readonly log: Log;
  /** Room for the bodies of callers' calls, from their arrival to their end. */
  readonly callerBytes?: ByteBudget;
  /** Called for each body that is refused because others have taken the memory. */
  readonly recordEviction?: () => void;
  /** Whether the upstream on this host is running the call with this id. */
  readonly isRunning: (callId: string) => boolean;
  /**
   * Records that a nested call, which the upstream on this host made for the call with this id,
   * failed.
   */
  readonly recordNestedFailure: (callId: string) => void;
  readonly quota: QuotaLimiter;
  readonly recordOverQuota: (organisation: string) => void;
  readonly recordCall: (record: CallRecord) => void;
  readonly recordCancelled: (stage: CallStage) => void;
  readonly recordUnauthorised: () => void;
}

/** A call that has ended, for the metrics. */
export interface CallRecord {
  readonly kind: string;
  /** Status of the answer, or the reason why there is none. */
  readonly outcome: string;
  readonly durationMs: number;
}

/** Limit of the HTTP parser; above what any configuration allows. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Bytes of each body that do not count among those that all hold together. */
const RESERVED_BYTES = 16 * 1024;
/** For bodies that are read and discarded. */
const NO_BYTES: ByteBudget = createByteBudget(0);
/** Retry-after while the bodies of other calls leave no memory. */
const NO_MEMORY_RETRY_MS = 300;
/** Retry-after while there is no configuration. */
const NO_CONFIGURATION_RETRY_MS = 300;
/** Retry-after while the daemon is stopping. */
const STOPPING_RETRY_MS = 300;

/** Starts listening; rejects when the address is taken. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const entry = new HttpEntry(options);
  await entry.listen();
  return entry;
}

/** A request that has been read completely, and its caller. */
interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly id: string | undefined;
  readonly body: ReadBody;
  readonly startedAtMs: number;
  /** Last time at which its caller is known to have waited. */
  readonly wantedAtMs: number;
  readonly caller: Caller;
}

/** A request whose route is found and whose caller is authenticated. */
interface AdmittedRequest {
  readonly received: ReceivedRequest;
  readonly identity: CallIdentity;
  readonly route: CompiledRoute;
  readonly routes: RouteTable;
  readonly organisation: OrganisationRule | undefined;
}

class HttpEntry implements Entry {
  private readonly server: Server;

  private readonly callers: Callers = createCallers();

  private readonly responder: Responder;

  private readonly requests: CallerRequests;

  private readonly unservedCalls: UnservedCalls = createUnservedCalls();

  private maxBodyBytes = Infinity;

  /** Time for a body of a call without a route, in milliseconds. */
  private idleTimeoutMs = MAX_DEADLINE_MS;

  private readonly heldBytes: ByteBudget;

  private readonly bodyReservations: BodyReservations;

  private readonly deadlines: Deadlines;

  private activeCalls = 0;

  private isRefusing = false;

  /** End of a stop; no call may run longer. */
  private stopAtMs = Infinity;

  /** For each running call, the function that cancels it. */
  private readonly cancellations = new Set<() => void>();

  public constructor(private readonly options: EntryOptions) {
    const { names, log, getRoutes, clock } = options;
    this.requests = createCallerRequests(names, options.callerService);
    this.deadlines = createDeadlines(clock);
    this.heldBytes = options.callerBytes ?? createMemoryBudgets().callers;
    this.bodyReservations = createBodyReservations(
      this.heldBytes,
      options.clock,
      options.recordEviction,
    );
    this.responder = createResponder({ names, log, getVersion: () => getRoutes()?.version });
    this.server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true },
      (request, response) => {
        void this.handle(request, response);
      },
    );
    this.server.on('connection', (socket: Socket) => this.callers.add(socket));
  }

  public listen(): Promise<void> {
    const { host, port } = parseAddress(this.options.address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, 1024, () => resolve());
    });
  }

  public setLimits(limits: CallerLimits): void {
    this.maxBodyBytes = limits.maxBodyBytes;
    this.idleTimeoutMs = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Reads a request, waits for a disconnection that arrived with it, then serves it. */
  private async handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const request = incoming;
    const startedAtMs = this.options.clock();
    const caller = this.callers.find(request.socket);
    if (caller === undefined) return;
    this.activeCalls += 1;
    response.sendDate = false;
    let heldBytes = 0;
    try {
      const body = await this.readBody(request);
      heldBytes = body.map(countHeldBytes).orDefault(0);
      if (!this.heldBytes.take(heldBytes)) heldBytes = 0;
      const wantedAtMs = await this.options.deferredTasks.wait();
      const id = findField(request.rawHeaders, this.options.names.callId);
      await this.serve({ request, response, id, body, startedAtMs, wantedAtMs, caller });
    } finally {
      this.activeCalls -= 1;
      this.heldBytes.release(heldBytes);
    }
  }

  private readBody(request: IncomingMessage): Promise<ReadBody> {
    return readBody(request, () => {
      const { host, path, remainingMs } = this.requests.readIdentity(request);
      const routes = this.options.getRoutes();
      const rule = routes?.match(host, path)?.rule;
      const { type } = checkApiKey(routes?.organisations, rule, request.rawHeaders);
      // The body of an unauthorised call is read, so that its connection stays open, and not kept.
      const isKept = type === 'admitted';
      return {
        maxBytes: this.maxBodyBytes,
        ...(isKept
          ? { reserveBody: (refuse: () => void) => this.bodyReservations.reserve(refuse) }
          : { budget: NO_BYTES }),
        reservedBytes: isKept ? RESERVED_BYTES : 0,
        pacer: this.options.pacer,
        // A call whose body is complete only after its deadline could not be served.
        timeoutMs: Math.min(remainingMs, rule?.timeoutMs ?? this.idleTimeoutMs),
      };
    });
  }

  private async serve(received: ReceivedRequest): Promise<void> {
    const { request, response, id, startedAtMs, caller } = received;
    const failure = received.body.swap().toMaybe().extract()?.kind;
    const { clock, log, getRoutes, recordCancelled } = this.options;
    if (caller.hasDisconnected || failure === BodyFailureKind.Incomplete) {
      log.debug('call-abandoned', { call: id, waitedMs: Math.round(clock() - startedAtMs) });
      recordCancelled(CallStage.Entry);
      request.socket.destroy();
      return;
    }
    if (this.isRefusing) {
      this.responder.refuse(response, id, NotRunReason.Stopping, STOPPING_RETRY_MS);
      return;
    }
    const routes = getRoutes();
    if (routes === undefined) {
      const reason = NotRunReason.NoConfiguration;
      this.responder.refuse(response, id, reason, NO_CONFIGURATION_RETRY_MS);
      return;
    }
    const admitted = this.admit(received, routes, failure);
    if (admitted !== undefined) await this.serveAdmitted(admitted);
  }

  /**
   * Authenticates a call and finds its route; responds and returns undefined if it is refused. The quota of
   * an organisation is checked last, as only calls that go on use it.
   */
  private admit(
    received: ReceivedRequest,
    routes: RouteTable,
    failure: BodyFailureKind | undefined,
  ): AdmittedRequest | undefined {
    const { request, response, id } = received;
    const identity = this.requests.readIdentity(request);
    const route = routes.match(identity.host, identity.path);
    const authentication = checkApiKey(routes.organisations, route?.rule, request.rawHeaders);
    if (authentication.type === 'unauthorised') {
      this.options.recordUnauthorised();
      this.responder.answerUnauthorised(response, id);
      return undefined;
    }
    if (route === undefined) {
      this.responder.answerNoRoute(response, id);
      return undefined;
    }
    if (failure !== undefined) {
      this.answerBodyFailure(response, id, failure);
      return undefined;
    }
    const { organisation } = authentication;
    if (!this.checkQuota(received, organisation)) return undefined;
    return {
      received,
      identity: { ...identity, organisation: organisation?.name },
      route,
      routes,
      organisation,
    };
  }

  private async serveAdmitted(admitted: AdmittedRequest): Promise<void> {
    const { received, identity, route } = admitted;
    const { response, id, startedAtMs } = received;
    const firstAtMs = this.unservedCalls.findFirstAtMs(identity, startedAtMs);
    const end = await this.routeCall(admitted, firstAtMs);
    if (end.type === 'not-run' && admitted.organisation !== undefined)
      this.options.quota.release(admitted.organisation.name);
    if (!isSuccess(end)) this.recordFailure(received, identity, firstAtMs);
    this.responder.finish(response, id, end);
    const outcome = end.type === 'answered' ? String(end.answer.status) : end.reason;
    const durationMs = this.options.clock() - startedAtMs;
    this.options.recordCall({ kind: route.kind, outcome, durationMs });
  }

  /** Whether the call is within the quota of its organisation; responds if it is not. */
  private checkQuota(
    { response, id }: ReceivedRequest,
    organisation: OrganisationRule | undefined,
  ): boolean {
    if (organisation === undefined) return true;
    const { isAdmitted, retryAfterMs } = this.options.quota.admit(organisation);
    if (isAdmitted) return true;
    this.options.recordOverQuota(organisation.name);
    this.responder.refuseOverQuota(response, id, retryAfterMs);
    return false;
  }

  private answerBodyFailure(
    response: ServerResponse,
    id: string | undefined,
    kind: BodyFailureKind,
  ): void {
    if (kind === BodyFailureKind.TooLarge) this.responder.answerTooLarge(response, id);
    else if (kind === BodyFailureKind.TimedOut) this.responder.answerBodyTimeout(response, id);
    else this.responder.refuse(response, id, NotRunReason.NoMemory, NO_MEMORY_RETRY_MS);
  }

  /** Routes the call; resolves at its deadline at the latest, or when the caller disconnects. */
  private routeCall(
    { received, identity, route, routes, organisation }: AdmittedRequest,
    firstAtMs: number,
  ): Promise<RoutedEnd> {
    const { request, id, startedAtMs, wantedAtMs, caller } = received;
    const { rule } = route;
    const { method, path, remainingMs } = identity;
    const deadlineAtMs = Math.min(
      startedAtMs + Math.min(remainingMs, rule.timeoutMs),
      this.stopAtMs,
    );
    const run = this.options.router.route({
      id,
      maxAttempts: rule.maxAttempts,
      startedAtMs,
      wantedAtMs,
      targetAtMs: firstAtMs + rule.targetMs,
      deadlineAtMs,
      call: {
        service: route.pickService(),
        method,
        path,
        headers: this.requests.buildHeaders(request, routes, organisation),
        body: received.body.extract() as Uint8Array | undefined,
        priority: computeRank(organisation, rule.priority),
        kind: route.kind,
        idempotent: rule.idempotent,
        isNested: this.isNested(id),
        organisation: organisation?.name,
      },
    });
    return this.waitForEnd(caller, run, deadlineAtMs);
  }

  /** Remembers the failed call to recognise its retry; marks the failure on its parent call. */
  private recordFailure(
    { id, startedAtMs }: ReceivedRequest,
    identity: CallIdentity,
    firstAtMs: number,
  ): void {
    this.unservedCalls.record(identity, startedAtMs, firstAtMs);
    const parentId = this.findParentId(id);
    if (parentId !== undefined) this.options.recordNestedFailure(parentId);
  }

  /** Whether the upstream on this host made this call for one that it is running. */
  private isNested(id: string | undefined): boolean {
    const parentId = this.findParentId(id);
    return parentId !== undefined && this.options.isRunning(parentId);
  }

  private findParentId(id: string | undefined): string | undefined {
    return id === undefined ? undefined : this.options.names.parseParentId(id);
  }

  /** Waits for the end of the call, its deadline, the caller's disconnection or `cancelCalls`. */
  private waitForEnd(caller: Caller, run: RunningCall, deadlineAtMs: number): Promise<RoutedEnd> {
    const { cancellations, deadlines } = this;
    return new Promise((resolve) => {
      const cancel = (): void => stop(UnknownReason.Stopped);
      cancellations.add(cancel);
      const removeDeadline = deadlines.add(deadlineAtMs, () => stop(UnknownReason.TimedOut));
      const unsubscribe = caller.onDisconnect(() => stop(UnknownReason.Cancelled));
      void run.end.then(settle);

      function stop(reason: UnknownReason): void {
        settle({ type: 'unknown', reason });
        run.cancel();
      }

      function settle(end: RoutedEnd): void {
        removeDeadline();
        unsubscribe();
        cancellations.delete(cancel);
        resolve(end);
      }
    });
  }

  public countCalls(): number {
    return this.activeCalls;
  }

  public drain(endAtMs: number): void {
    this.stopAtMs = endAtMs;
    this.responder.drain();
  }

  public refuseCalls(): void {
    this.isRefusing = true;
  }

  public cancelCalls(): void {
    this.cancellations.forEach((cancel) => cancel());
  }

  public close(): void {
    this.deadlines.close();
    this.server.close();
    this.server.closeAllConnections();
  }
}

const countHeldBytes = (body: Uint8Array | undefined): number =>
  Math.max(0, (body?.byteLength ?? 0) - RESERVED_BYTES);

const MIN_ERROR_STATUS = 400;

function isSuccess(end: RoutedEnd): boolean {
  return end.type === 'answered' && end.answer.status < MIN_ERROR_STATUS;
}

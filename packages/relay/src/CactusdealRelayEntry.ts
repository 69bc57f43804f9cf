import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { type Clock, type Log, parseAddress } from '@cactusdeal/shared';
import { findField, selectEndToEnd } from './CactusdealRelayHeaders.js';
import type { RoutedEnd, RoutedRun, Router } from './CactusdealRelayRouter.js';
import type { CompiledRoute, RouteTable } from './CactusdealRelayRoutes.js';
import {
  type CallerLimits,
  type HeaderNames,
  NotRunReason,
  UnknownReason,
} from './CactusdealRelayTypes.js';

/** Takes the calls of callers beside this daemon and of the upstream itself. */
export interface Entry {
  setLimits(limits: CallerLimits): void;
  /** Calls that have been read and not answered. */
  countCalls(): number;
  /** Tells callers to leave with their next answer. */
  drain(): void;
  /** Refuses calls that come from now on. */
  refuseCalls(): void;
  close(): void;
}

export interface EntryOptions {
  readonly address: string;
  /** Service of the upstream on this host, from which calls are said to come. */
  readonly callerService: string;
  readonly names: HeaderNames;
  readonly getRoutes: () => RouteTable | undefined;
  readonly router: Router;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether the upstream on this host runs the call of this id. */
  readonly isRunning: (callId: string) => boolean;
  readonly recordCall: (record: CallRecord) => void;
}

/** One call that has ended, for the metrics. */
export interface CallRecord {
  readonly kind: string;
  readonly outcome: string;
  readonly durationMs: number;
}

const Status = {
  NotFound: 404,
  TooLarge: 413,
  BadGateway: 502,
  Unavailable: 503,
  TimedOut: 504,
} as const;

/** Above what any configuration allows; the limit in force is checked besides. */
const MAX_HEADER_BYTES = 64 * 1024;
const MAX_DEADLINE_MS = 600_000;
const NO_CONFIGURATION_RETRY_MS = 300;
const STOPPING_RETRY_MS = 300;
const MS_PER_SECOND = 1_000;

/** Starts listening; rejects when the address is taken. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const entry = new HttpEntry(options);
  await entry.listen();
  return entry;
}

class HttpEntry implements Entry {
  private readonly server: Server;

  /** Calls under way by the connection that they came on. */
  private readonly runs = new Map<Socket, Set<() => void>>();

  /** Longest time that a caller of each route has offered, in milliseconds. */
  private readonly longestMs = new WeakMap<CompiledRoute, number>();

  private readonly dropped: ReadonlySet<string>;

  private maxBodyBytes = Infinity;

  private live = 0;

  private isDraining = false;

  private isRefusing = false;

  public constructor(private readonly options: EntryOptions) {
    const { deadline, upstreamId, callerService } = options.names;
    this.dropped = new Set([deadline, upstreamId, callerService]);
    this.server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true },
      (request, response) => {
        void this.handle(request, response);
      },
    );
    this.server.on('connection', (socket: Socket) => this.watchSocket(socket));
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
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  private watchSocket(socket: Socket): void {
    const cancels = new Set<() => void>();
    this.runs.set(socket, cancels);
    const cancelAll = (): void => cancels.forEach((cancel) => cancel());
    socket.on('end', cancelAll);
    socket.on('close', () => {
      cancelAll();
      this.runs.delete(socket);
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAtMs = this.options.clock();
    this.live += 1;
    response.sendDate = false;
    try {
      await this.serve(request, response, startedAtMs);
    } finally {
      this.live -= 1;
    }
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    startedAtMs: number,
  ): Promise<void> {
    const { names, clock, getRoutes, recordCall } = this.options;
    const id = findField(request.rawHeaders, names.callId);
    const body = await readBody(request, this.maxBodyBytes);
    if (this.isRefusing) {
      const reason = NotRunReason.Stopping;
      this.refuse(response, id, { type: 'not-run', reason, retryAfterMs: STOPPING_RETRY_MS });
      return;
    }
    const routes = getRoutes();
    if (routes === undefined) {
      const reason = NotRunReason.NoConfiguration;
      this.refuse(response, id, {
        type: 'not-run',
        reason,
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      });
      return;
    }
    const route = routes.match(request.headers.host ?? '', request.url ?? '/');
    if (route === undefined) {
      this.answerOwn(response, id, Status.NotFound, 'no-route');
      return;
    }
    if (body === 'gone') return;
    if (body === 'too-large') {
      this.answerOwn(response, id, Status.TooLarge, 'body-too-large');
      return;
    }
    const end = await this.run(request, route, body, id, startedAtMs);
    this.finish(response, id, end);
    const outcome = end.type === 'answered' ? String(end.answer.status) : end.reason;
    recordCall({ kind: route.kind, outcome, durationMs: clock() - startedAtMs });
  }

  /** Leads the call; ends at the deadline at the latest, or when the caller has gone. */
  private run(
    request: IncomingMessage,
    route: CompiledRoute,
    body: Uint8Array | undefined,
    id: string | undefined,
    startedAtMs: number,
  ): Promise<RoutedEnd> {
    const { rule } = route;
    const offeredMs = this.readDeadlineMs(request);
    const elapsedMs = this.measureEarlierMs(route, offeredMs);
    const limitMs = Math.min(offeredMs, rule.timeoutMs);
    const run = this.options.router.route({
      id,
      maxAttempts: rule.maxAttempts,
      startedAtMs,
      targetAtMs: startedAtMs + rule.targetMs - elapsedMs,
      deadlineAtMs: startedAtMs + limitMs,
      call: {
        service: route.pickService(),
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: this.buildHeaders(request),
        body,
        priority: rule.priority,
        kind: route.kind,
        idempotent: rule.idempotent,
        isNested: this.isNested(id),
      },
    });
    return this.limitRun(request.socket, run, startedAtMs + limitMs);
  }

  private isNested(id: string | undefined): boolean {
    const parentId = id === undefined ? undefined : this.options.names.parseParentId(id);
    return parentId !== undefined && this.options.isRunning(parentId);
  }

  private limitRun(socket: Socket, run: RoutedRun, deadlineAtMs: number): Promise<RoutedEnd> {
    const cancels = this.runs.get(socket);
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => stop(UnknownReason.TimedOut),
        deadlineAtMs - this.options.clock(),
      );
      const cancel = (): void => stop(UnknownReason.Cancelled);
      cancels?.add(cancel);
      if (socket.destroyed) cancel();
      void run.end.then(settle);

      function stop(reason: UnknownReason): void {
        settle({ type: 'unknown', reason });
        run.cancel();
      }

      function settle(end: RoutedEnd): void {
        clearTimeout(timer);
        cancels?.delete(cancel);
        resolve(end);
      }
    });
  }

  private readDeadlineMs(request: IncomingMessage): number {
    const text = findField(request.rawHeaders, this.options.names.deadline);
    const offeredMs = Number(text ?? '');
    return offeredMs > 0 ? Math.min(offeredMs, MAX_DEADLINE_MS) : MAX_DEADLINE_MS;
  }

  /** A caller that comes again offers less time than it did first; the difference has passed. */
  private measureEarlierMs(route: CompiledRoute, offeredMs: number): number {
    if (offeredMs === MAX_DEADLINE_MS) return 0;
    const longestMs = Math.max(offeredMs, this.longestMs.get(route) ?? 0);
    this.longestMs.set(route, longestMs);
    return longestMs - offeredMs;
  }

  private buildHeaders(request: IncomingMessage): string[] {
    const { names, callerService } = this.options;
    const kept = selectEndToEnd(request.rawHeaders, this.dropped);
    kept.push(names.callerService, callerService);
    return kept;
  }

  private finish(response: ServerResponse, id: string | undefined, end: RoutedEnd): void {
    if (response.destroyed || response.socket?.destroyed === true) return;
    if (end.type === 'answered') this.forward(response, id, end);
    else if (end.type === 'not-run') this.refuse(response, id, end);
    else {
      const isTimeout = end.reason === UnknownReason.TimedOut;
      this.answerOwn(response, id, isTimeout ? Status.TimedOut : Status.BadGateway, end.reason);
    }
  }

  private forward(
    response: ServerResponse,
    id: string | undefined,
    { answer }: RoutedEnd & { type: 'answered' },
  ): void {
    const { names } = this.options;
    if (answer.status === Status.Unavailable || answer.status === 429) {
      // The upstream ran it; a caller would read this status as "not run".
      this.answerOwn(response, id, Status.BadGateway, 'upstream-unavailable');
      return;
    }
    const headers = selectEndToEnd(answer.headers, NOT_FORWARDED);
    if (id !== undefined && findField(headers, names.callId) === undefined) {
      headers.push(names.callId, id);
    }
    this.write(response, answer.status, headers, answer.body);
  }

  private refuse(
    response: ServerResponse,
    id: string | undefined,
    end: RoutedEnd & { type: 'not-run' },
  ): void {
    const seconds = Math.max(0, end.retryAfterMs) / MS_PER_SECOND;
    this.answerOwn(response, id, Status.Unavailable, end.reason, ['retry-after', String(seconds)]);
  }

  private answerOwn(
    response: ServerResponse,
    id: string | undefined,
    status: number,
    reason: string,
    extra: readonly string[] = [],
  ): void {
    const { names, log } = this.options;
    const version = this.options.getRoutes()?.version;
    log.info('call-refused', { call: id, status, reason, version });
    const headers = id === undefined ? [...extra] : [...extra, names.callId, id];
    this.write(response, status, headers, NO_BODY);
  }

  private write(
    response: ServerResponse,
    status: number,
    headers: string[],
    body: Uint8Array,
  ): void {
    if (this.isDraining) headers.push('connection', 'close');
    headers.push('content-length', String(body.byteLength));
    response.writeHead(status, headers);
    response.end(body);
  }

  public countCalls(): number {
    return this.live;
  }

  public drain(): void {
    this.isDraining = true;
  }

  public refuseCalls(): void {
    this.isRefusing = true;
  }

  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

const NO_BODY = new Uint8Array(0);
const NOT_FORWARDED: ReadonlySet<string> = new Set();

type ReadBody = Uint8Array | undefined | 'too-large' | 'gone';

function readBody(request: IncomingMessage, maxBytes: number): Promise<ReadBody> {
  const { headers } = request;
  const hasBody =
    headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
  if (!hasBody) {
    request.resume();
    const isEmpty = headers['content-length'] === undefined;
    return Promise.resolve(isEmpty ? undefined : NO_BODY);
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
    });
    request.on('end', () => resolve(size > maxBytes ? 'too-large' : Buffer.concat(chunks)));
    request.on('error', () => resolve('gone'));
    request.on('close', () => resolve('gone'));
  });
}

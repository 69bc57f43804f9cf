import { type Clock, type Log, type Random, waitMs } from '@cactusdeal/shared';
import type { Members } from './CactusdealRelayMembers.js';
import type { Peer } from './CactusdealRelayPeer.js';
import {
  type ConfigurationReading,
  type ConfigurationSource,
  type PlatformFault,
  PlatformFaultKind,
} from './CactusdealRelayPorts.js';
import { buildRouteTable, type RouteTable } from './CactusdealRelayRoutes.js';
import type { Member, RelayConfiguration } from './CactusdealRelayTypes.js';
import {
  createVersionHistory,
  type VersionHistory,
  type VersionUpdate,
} from './CactusdealRelayVersionHistory.js';
import type { Status } from './CactusdealRelayWire.js';

/** The configuration in force here, which only ever moves to a higher version. */
export interface Configurations {
  getRoutes(): RouteTable | undefined;
  get(): RelayConfiguration | undefined;
  getStatus(): Status;
  /** Takes in what another daemon says of its version. */
  receiveStatus(peer: Peer, status: Status): void;
  /** What a daemon that holds version `from` needs; undefined while none is held here. */
  buildUpdate(from: number): VersionUpdate | undefined;
  /** Takes in a version from another daemon. */
  receiveUpdate(peer: Peer, update: VersionUpdate): void;
  /** The task that keeps it current; ends when closed. */
  run(members: Members): Promise<void>;
  close(): void;
}

export interface ConfigurationsOptions {
  readonly self: Member;
  readonly source: ConfigurationSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Runs after a version came into force. */
  readonly observe: (configuration: RelayConfiguration) => void;
}

/** Daemons of a data centre that watch the platform; the others hear of a version from them. */
const READERS = 2;
const WATCH_MS = 2_500;
/** Pause before the next watch, in which quick successions of versions gather into one reading. */
const GATHER_MS = 600;
/** Age of a reader's last word from the platform beyond which others read themselves. */
const STALE_AFTER_MS = 3_600;
const IDLE_CHECK_MS = 250;
const LEAST_BACKOFF_MS = 200;
const MOST_BACKOFF_MS = 1_600;
const ASK_AGAIN_MS = 500;
/** Time without any configuration after which a daemon of another data centre is asked. */
const ASK_ANYONE_AFTER_MS = 1_000;

export function createConfigurations(options: ConfigurationsOptions): Configurations {
  return new FollowedConfigurations(options);
}

class FollowedConfigurations implements Configurations {
  private readonly stop = new AbortController();

  private readonly history: VersionHistory = createVersionHistory();

  private current: RelayConfiguration | undefined;

  private routes: RouteTable | undefined;

  private heardAtMs: number | undefined;

  private askedAtMs = -Infinity;

  private readonly startedAtMs: number;

  public constructor(private readonly options: ConfigurationsOptions) {
    this.startedAtMs = options.clock();
  }

  public getRoutes(): RouteTable | undefined {
    return this.routes;
  }

  public get(): RelayConfiguration | undefined {
    return this.current;
  }

  public getStatus(): Status {
    const platformAgeMs = this.heardAtMs === undefined ? -1 : this.options.clock() - this.heardAtMs;
    return { version: this.current?.version ?? 0, platformAgeMs };
  }

  public receiveStatus(peer: Peer, status: Status): void {
    const nowMs = this.options.clock();
    if (status.version <= (this.current?.version ?? 0)) return;
    const isNear = peer.member.dataCentre === this.options.self.dataCentre;
    const isLost = this.current === undefined && nowMs - this.startedAtMs > ASK_ANYONE_AFTER_MS;
    if ((!isNear && !isLost) || nowMs - this.askedAtMs < ASK_AGAIN_MS) return;
    this.askedAtMs = nowMs;
    peer.requestConfiguration(this.current?.version ?? 0);
  }

  public buildUpdate(from: number): VersionUpdate | undefined {
    return this.history.buildUpdate(from);
  }

  public receiveUpdate(peer: Peer, update: VersionUpdate): void {
    this.history
      .apply(update)
      .ifLeft(({ kind, message }) => {
        this.options.log.warn('update-rejected', { peer: peer.member.id, kind, message });
        if (update.type === 'delta') peer.requestConfiguration(0);
      })
      .ifRight((source) => this.receive(source));
  }

  private receive(source: string): void {
    const decoded = this.options.source.decode(source);
    decoded
      .ifLeft(({ kind, message }) => {
        this.options.log.warn('version-rejected', { kind, message });
      })
      .ifRight((configuration) => this.apply(configuration));
  }

  private apply(next: RelayConfiguration): void {
    const { log, observe } = this.options;
    const before = this.current?.version ?? 0;
    if (next.version <= before) return;
    this.current = next;
    this.routes = buildRouteTable(next);
    this.history.add(next.version, next.source);
    this.askedAtMs = -Infinity;
    log.info('version-in-force', { version: next.version, before, routes: next.routes.length });
    observe(next);
  }

  public async run(members: Members): Promise<void> {
    const { signal } = this.stop;
    let revision: number | undefined;
    let backoffMs = LEAST_BACKOFF_MS;
    while (!signal.aborted) {
      if (!this.shouldRead(members)) {
        revision = undefined;
        await waitMs(IDLE_CHECK_MS, signal);
        continue;
      }
      const reading = await this.readOnce(revision);
      if (signal.aborted) return;
      if (reading.isRight()) {
        backoffMs = LEAST_BACKOFF_MS;
        const { sources, revision: next } = reading.unsafeCoerce();
        revision = next;
        this.takeReading(sources);
        if (sources.length > 0) await waitMs(GATHER_MS, signal);
        continue;
      }
      revision = this.takeFault(reading.swap().unsafeCoerce(), revision);
      await waitMs(backoffMs * (0.5 + this.options.random()), signal);
      backoffMs = Math.min(MOST_BACKOFF_MS, backoffMs * 2);
    }
  }

  private readOnce(revision: number | undefined): ReturnType<ConfigurationSource['read']> {
    const { source } = this.options;
    return revision === undefined ? source.read() : source.watch(revision, WATCH_MS);
  }

  private takeReading(sources: ConfigurationReading['sources']): void {
    if (this.heardAtMs === undefined) this.options.log.info('platform-regained');
    this.heardAtMs = this.options.clock();
    sources.forEach((source) => this.receive(source));
  }

  /** Answers where to go on reading; undefined for a reading of everything. */
  private takeFault(fault: PlatformFault, revision: number | undefined): number | undefined {
    if (fault.kind === PlatformFaultKind.Gone) return undefined;
    if (this.heardAtMs !== undefined) {
      this.options.log.warn('platform-lost', { kind: fault.kind, message: fault.message });
    }
    this.heardAtMs = undefined;
    return revision;
  }

  /** Whether too few others of this data centre, by the order of their ids, read for all. */
  private shouldRead(members: Members): boolean {
    const { self, clock } = this.options;
    const nowMs = clock();
    const readers = members.list().filter((peer) => {
      if (peer.member.dataCentre !== self.dataCentre || peer.member.id > self.id) return false;
      const status = peer.getStatus();
      if (status === undefined || status.platformAgeMs < 0) return false;
      return status.platformAgeMs + nowMs - status.atMs < STALE_AFTER_MS;
    });
    return readers.length < READERS;
  }

  public close(): void {
    this.stop.abort();
  }
}

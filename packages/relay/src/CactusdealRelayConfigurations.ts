import { type Clock, type Failure, type Log, type Random, waitMs } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { Members } from './CactusdealRelayMembers.js';
import type { Peer } from './CactusdealRelayPeer.js';
import {
  type ConfigurationReading,
  type ConfigurationSource,
  type PlatformFault,
  PlatformFaultKind,
} from './CactusdealRelayPorts.js';
import { createReaderRoles, ReaderRole, type ReaderRoles } from './CactusdealRelayReaderRole.js';
import { buildRouteTable, type RouteTable } from './CactusdealRelayRoutes.js';
import {
  checkReading,
  chooseWatch,
  EraOrigin,
  isPositionUsable,
  NO_ERA,
  ReadingVerdict,
  type StoreEra,
  WatchKind,
  type WatchPosition,
} from './CactusdealRelayStoreEra.js';
import type { Member, RelayConfiguration } from './CactusdealRelayTypes.js';
import {
  createVersionHistory,
  type VersionHistory,
  type VersionUpdate,
} from './CactusdealRelayVersionHistory.js';
import type { Status } from './CactusdealRelayWire.js';

/** The configuration in force in this daemon. It is only ever replaced by a higher version. */
export interface Configurations {
  getRoutes(): RouteTable | undefined;
  get(): RelayConfiguration | undefined;
  getStatus(): Status;
  /** Handles another daemon's status: requests its version if that is higher. */
  receiveStatus(peer: Peer, status: Status): void;
  /**
   * Builds the update for a daemon that holds `baseVersion`; undefined while there is no
   * configuration here.
   */
  buildUpdate(baseVersion: number): VersionUpdate | undefined;
  /** Applies an update from another daemon, or logs why it is rejected. */
  receiveUpdate(peer: Peer, update: VersionUpdate): void;
  /** Checks whether this daemon has to read from the platform, after a link to another one has ended. */
  checkRole(): void;
  /** Follows the platform whenever this daemon has to be a reader; resolves after `close`. */
  run(members: Members): Promise<void>;
  close(): void;
}

/** Where a daemon has a version from. */
export const VersionOrigin = { Platform: 'platform', Daemon: 'daemon' } as const;
export type VersionOrigin = (typeof VersionOrigin)[keyof typeof VersionOrigin];

export interface ConfigurationsOptions {
  readonly self: Member;
  readonly source: ConfigurationSource;
  readonly storeEra: StoreEra;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Called after a version has come into force. */
  readonly observe: (configuration: RelayConfiguration, origin: VersionOrigin) => void;
  /** Called with each version that is rejected because it cannot be read. */
  readonly recordRejection: () => void;
  /** Called with each reading, for what it holds besides the configuration. */
  readonly receiveReading?: (reading: ConfigurationReading) => void;
  /** Called when reading from the platform fails and when it works again. */
  readonly observePlatform: () => void;
}

/** Longest wait of one watch request; bounds the time in which a connection may go silent. */
const WATCH_MS = 2_500;
/**
 * The same at a store that may be restored: a restore may be detected only after two watches, one on a
 * connection from before it and one from a revision that was assigned again. New versions have to be in
 * force after 4 s.
 */
const RESTORABLE_WATCH_MS = 1_500;
/** Wait of a watch that only reads the era. */
const CHECK_WATCH_MS = 50;
/** The same for a standby, which becomes the primary as soon as that one fails. */
const STANDBY_WATCH_MS = 25_000;
/** Pause before the next watch, so that versions in quick succession are read together. */
const COALESCE_MS = 600;
/** The same for a standby; short enough for it to take over while versions come. */
const STANDBY_COALESCE_MS = 1_200;
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 1_600;
/** Most warnings of one version that are logged; all are counted. */
const MAX_LOGGED_WARNINGS = 10;
/** Least time between requests for a configuration to other daemons. */
const REQUEST_INTERVAL_MS = 500;
/**
 * Least time that the daemons of the own data centre have to bring a version before one of another data
 * centre is sent a request; up to twice as long, so that few daemons send one.
 */
const REMOTE_REQUEST_AFTER_MS = 400;

export function createConfigurations(options: ConfigurationsOptions): Configurations {
  return new ConfigurationFollower(options);
}

class ConfigurationFollower implements Configurations {
  private readonly stop = new AbortController();

  private readonly history: VersionHistory = createVersionHistory();

  private configuration: RelayConfiguration | undefined;

  private routes: RouteTable | undefined;

  private lastReadAtMs: number | undefined;

  private isStandby = false;

  private requestedAtMs = -Infinity;

  /** Ends the watch in progress. */
  private watchCut = new AbortController();

  /** Position of the next watch; undefined to read everything. */
  private position: WatchPosition | undefined;

  /** Whether the last request failed or was cut. */
  private isDoubtful = false;

  private readonly roles: ReaderRoles;

  public constructor(private readonly options: ConfigurationsOptions) {
    this.roles = createReaderRoles(options.self, options.clock);
    options.storeEra.subscribe(() => this.watchCut.abort());
  }

  public getRoutes(): RouteTable | undefined {
    return this.routes;
  }

  public get(): RelayConfiguration | undefined {
    return this.configuration;
  }

  public getStatus(): Status {
    return {
      version: this.configuration?.version ?? 0,
      platformAgeMs: this.computePlatformAgeMs(),
      storeEra: this.options.storeEra.get(),
    };
  }

  /** A standby's long watch counts as a read while it has not failed. */
  private computePlatformAgeMs(): number {
    if (this.lastReadAtMs === undefined) return -1;
    return this.isStandby ? 0 : this.options.clock() - this.lastReadAtMs;
  }

  public receiveStatus(peer: Peer, { version }: Status): void {
    this.checkRole();
    if (!this.isNewer(version)) return;
    if (peer.member.dataCentre === this.options.self.dataCentre) this.requestUpdate(peer);
    else void this.requestRemoteUpdate(peer, version);
  }

  private isNewer(version: number): boolean {
    return version > (this.configuration?.version ?? 0);
  }

  /** All readers of the own data centre may have lost the platform; one of another brings the version then. */
  private async requestRemoteUpdate(peer: Peer, version: number): Promise<void> {
    const { signal } = this.stop;
    await waitMs(REMOTE_REQUEST_AFTER_MS * (1 + this.options.random()), signal);
    if (!signal.aborted && this.isNewer(version)) this.requestUpdate(peer);
  }

  private requestUpdate(peer: Peer): void {
    const nowMs = this.options.clock();
    if (nowMs - this.requestedAtMs < REQUEST_INTERVAL_MS) return;
    this.requestedAtMs = nowMs;
    peer.requestConfiguration(this.configuration?.version ?? 0);
  }

  public buildUpdate(baseVersion: number): VersionUpdate | undefined {
    return this.history.buildUpdate(baseVersion);
  }

  public receiveUpdate(peer: Peer, update: VersionUpdate): void {
    this.decodeUpdate(update)
      .ifLeft(({ kind, message }) => {
        this.options.log.warn('update-rejected', { peer: peer.member.id, kind, message });
        if (update.type === 'delta') peer.requestConfiguration(0);
      })
      .ifRight((decoded) => this.applyDecoded(decoded, VersionOrigin.Daemon));
  }

  /** The outer failure is that of the update, the inner one that of the version. */
  private decodeUpdate(
    update: VersionUpdate,
  ): Either<Failure, Either<Failure, RelayConfiguration>> {
    const { source } = this.options;
    if (source.decodeDocument === undefined)
      return this.history.apply(update).map((text) => source.decode(text));
    return this.history.applyToDocument(update).map(source.decodeDocument);
  }

  private decodeText(text: string): Either<Failure, RelayConfiguration> {
    const { source } = this.options;
    if (source.decodeDocument === undefined) return source.decode(text);
    return this.history.parse(text).chain(source.decodeDocument);
  }

  private applyDecoded(decoded: Either<Failure, RelayConfiguration>, origin: VersionOrigin): void {
    decoded
      .ifLeft(({ kind, message }) => {
        this.options.log.warn('version-rejected', { kind, message });
        this.options.recordRejection();
      })
      .ifRight((configuration) => this.apply(configuration, origin));
  }

  private apply(next: RelayConfiguration, origin: VersionOrigin): void {
    const { log, observe } = this.options;
    if (!this.isNewer(next.version)) return;
    const previousVersion = this.configuration?.version ?? 0;
    this.configuration = next;
    this.routes = buildRouteTable(next, this.routes);
    this.history.add(next.version, next.document ?? next.source);
    this.requestedAtMs = -Infinity;
    log.info('version-in-force', {
      version: next.version,
      before: previousVersion,
      routes: next.routes.length,
      organisations: next.organisations?.length,
      origin,
    });
    this.logWarnings(next);
    observe(next, origin);
  }

  private logWarnings({ version, warnings }: RelayConfiguration): void {
    warnings.slice(0, MAX_LOGGED_WARNINGS).forEach((message) => {
      this.options.log.warn('version-warning', { version, message, warnings: warnings.length });
    });
  }

  public async run(members: Members): Promise<void> {
    const { signal } = this.stop;
    let backoffMs = MIN_BACKOFF_MS;
    while (!signal.aborted) {
      const role = this.roles.find(members);
      if (role === ReaderRole.None) {
        this.position = undefined;
        await this.waitForRoleChange(role, members);
        continue;
      }
      const reading = await this.readPlatform(role, members);
      if (signal.aborted) return;
      const used = reading === 'cut' ? reading : reading.chain((found) => this.useReading(found));
      this.isDoubtful = used === 'cut' || used.isLeft();
      if (used === 'cut') continue;
      if (used.isRight()) {
        backoffMs = MIN_BACKOFF_MS;
        const pauseMs = role === ReaderRole.Standby ? STANDBY_COALESCE_MS : COALESCE_MS;
        const { sources } = used.unsafeCoerce();
        if (sources.length > 0 && this.position !== undefined) await waitMs(pauseMs, signal);
        continue;
      }
      this.handleFault(used.swap().unsafeCoerce());
      await waitMs(backoffMs * (0.5 + this.options.random()), signal);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }

  /**
   * Reads or watches. A watch ends as soon as another daemon tells of a restored platform, that of a
   * standby also as soon as it is not the standby any more.
   */
  private async readPlatform(
    role: ReaderRole,
    members: Members,
  ): Promise<Awaited<ReturnType<ConfigurationSource['read']>> | 'cut'> {
    const { source, storeEra } = this.options;
    const { position } = this;
    if (position === undefined || !isPositionUsable(position, storeEra.get())) {
      this.position = undefined;
      return source.read();
    }
    const { revision } = position;
    this.watchCut = new AbortController();
    const { signal: cut } = this.watchCut;
    const watchMs = this.getWatchMs(role);
    if (role === ReaderRole.Primary) {
      const reading = await source.watch(revision, watchMs, cut);
      return cut.aborted ? 'cut' : reading;
    }
    const stopWatching = this.roles.watch(role, members, () => this.watchCut.abort());
    this.isStandby = true;
    const reading = await source.watch(revision, watchMs, cut);
    this.isStandby = false;
    stopWatching();
    return cut.aborted ? 'cut' : reading;
  }

  private getWatchMs(role: ReaderRole): number {
    const kind = chooseWatch(this.options.storeEra.get(), this.isDoubtful);
    if (kind === WatchKind.Check) return CHECK_WATCH_MS;
    if (role === ReaderRole.Standby) return STANDBY_WATCH_MS;
    return kind === WatchKind.Restorable ? RESTORABLE_WATCH_MS : WATCH_MS;
  }

  /**
   * Applies what was read, also from before a restore, as versions only rise, and sets the position from
   * which to watch.
   */
  private useReading(reading: ConfigurationReading): Either<PlatformFault, ConfigurationReading> {
    const { storeEra } = this.options;
    const { sources, revision, era = NO_ERA } = reading;
    const verdict = checkReading(era, storeEra.get(), this.position);
    if (verdict === ReadingVerdict.Outdated) {
      this.applySources(sources);
      const message = `era ${era}, known: ${storeEra.get()}`;
      return Left({ kind: PlatformFaultKind.Outdated, message });
    }
    storeEra.record(era, EraOrigin.Platform);
    this.recordRead();
    this.applySources(sources);
    this.options.receiveReading?.(reading);
    this.position = verdict === ReadingVerdict.Continue ? { revision, era } : undefined;
    return Right(reading);
  }

  private applySources(sources: ConfigurationReading['sources']): void {
    sources.forEach((text) => this.applyDecoded(this.decodeText(text), VersionOrigin.Platform));
  }

  private recordRead(): void {
    const isRegained = this.lastReadAtMs === undefined;
    this.lastReadAtMs = this.options.clock();
    if (isRegained) {
      this.options.log.info('platform-regained');
      this.options.observePlatform();
    }
  }

  private handleFault(fault: PlatformFault): void {
    this.options.storeEra.record(fault.era ?? NO_ERA, EraOrigin.Platform);
    if (fault.kind === PlatformFaultKind.Gone) {
      this.position = undefined;
      return;
    }
    const isLost = this.lastReadAtMs !== undefined;
    this.lastReadAtMs = undefined;
    if (!isLost) return;
    this.options.log.warn('platform-lost', { kind: fault.kind, message: fault.message });
    this.options.observePlatform();
  }

  public checkRole(): void {
    this.roles.check();
  }

  private waitForRoleChange(role: ReaderRole, members: Members): Promise<void> {
    const { signal } = this.stop;
    return new Promise((resolve) => {
      const stopWatching = this.roles.watch(role, members, finish);
      signal.addEventListener('abort', finish);

      function finish(): void {
        stopWatching();
        signal.removeEventListener('abort', finish);
        resolve();
      }
    });
  }

  public close(): void {
    this.stop.abort();
    this.watchCut.abort();
  }
}

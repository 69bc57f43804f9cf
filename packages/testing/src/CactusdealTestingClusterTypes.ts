import type { DaemonSettings } from '@cactusdeal/schema';
import type { FaultProxy } from './CactusdealTestingFaultProxy.js';
import type { ManagedProcess } from './CactusdealTestingProcess.js';
import type { PlatformProcess } from './CactusdealTestingPlatform.js';
import type { UpstreamBehaviour, UpstreamRecord } from './CactusdealTestingUpstreamTypes.js';

/** The upstream stand-in of a host. */
export interface WorkerSpec {
  readonly name: string;
  readonly services: readonly string[];
  /** Requests that it can run concurrently, as it announces. */
  readonly slots: number;
  /** Service time of a request, in milliseconds. */
  readonly serviceMs?: number;
  /** Added to the service time of the first `slots` requests after a start, in milliseconds. */
  readonly coldMs?: number;
}

/** One data centre of a cluster. */
export interface DataCentreSpec {
  readonly name: string;
  /** One item per host, each with one daemon; undefined stands for a host without an upstream. */
  readonly workers: readonly (WorkerSpec | undefined)[];
}

/** Settings that all daemons share; the cluster fills in names and addresses. */
export type SettingsOverrides = Partial<
  Omit<DaemonSettings, 'cluster' | 'dataCentre' | 'id' | 'listen' | 'advertise' | 'platform'>
> & { readonly platform?: Partial<DaemonSettings['platform']> };

/** Data centres, daemon settings and network delay of a cluster to start. */
export interface ClusterSpec {
  readonly name: string;
  readonly dataCentres: readonly DataCentreSpec[];
  readonly settings?: SettingsOverrides;
  /** One-way delay between data centres, in milliseconds. */
  readonly delayMs?: number;
}

/** One host: a daemon and its local upstream. Both keep their addresses across restarts. */
export interface Host {
  readonly id: string;
  readonly dataCentre: string;
  readonly worker: WorkerSpec | undefined;
  readonly adminAddress: string;
  readonly callsAddress: string;
  /** Fault proxy between the daemon and its upstream. */
  readonly upstreamLink: FaultProxy;
  /** The last daemon process that was started, running or not; throws when there is none. */
  getDaemon(): ManagedProcess;
  /** The last upstream process that was started, running or not; throws when there is none. */
  getUpstream(): ManagedProcess;
  /** Starts the daemon, for the first time or after it exited. */
  startDaemon(): Promise<void>;
  /** Starts the upstream, for the first time or after it exited. */
  startUpstream(): Promise<void>;
  /** Changes the given fields of the running upstream's behaviour. */
  commandUpstream(change: Partial<UpstreamBehaviour>): Promise<void>;
  /** Requests that this host's upstream processes ran, including processes that have exited. */
  collectRuns(): Promise<readonly RunRecord[]>;
  /** Records of the upstream process that runs now. */
  fetchRecords(): Promise<readonly UpstreamRecord[]>;
  close(): Promise<void>;
}

/** A request that an upstream began to run. */
export interface RunRecord {
  readonly worker: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly path: string;
}

/**
 * A fault proxy on the path between two data centres or from a data centre to the platform. Links
 * behind advertised addresses, which include all links for calls, have `*` as `from`: all other data
 * centres share them.
 */
export interface ClusterLink {
  readonly from: string;
  /** IP address and port to which the proxy connects. */
  readonly target: string;
  /** Data centre of the target, or `platform`. */
  readonly to: string;
  readonly kind: 'mesh' | 'calls' | 'platform';
  readonly proxy: FaultProxy;
}

/** The running processes of one deployment, with fault proxies on the links between them. */
export interface Cluster {
  readonly platform: PlatformProcess;
  readonly hosts: readonly Host[];
  readonly links: readonly ClusterLink[];
  findHost(id: string): Host;
  listHosts(dataCentre: string): readonly Host[];
  /**
   * Fault proxies on the links between two data centres, in both directions; `platform` stands for
   * the platform. They include the shared links to either data centre, so with three or more data
   * centres a fault on them also affects the others.
   */
  listLinks(one: string, other: string): readonly FaultProxy[];
  /** Removes all faults of links and of the platform. Exited processes are not started again. */
  heal(): Promise<void>;
  close(): Promise<void>;
}

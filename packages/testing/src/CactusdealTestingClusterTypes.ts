import type { DaemonSettings } from '@cactusdeal/schema';
import type { FaultProxy } from './CactusdealTestingFaultProxy.js';
import type { ManagedProcess } from './CactusdealTestingProcess.js';
import type { PlatformProcess } from './CactusdealTestingPlatform.js';
import type { UpstreamBehaviour, UpstreamRecord } from './CactusdealTestingUpstreamTypes.js';

/** The upstream of a host. */
export interface WorkerSpec {
  readonly name: string;
  readonly services: readonly string[];
  readonly slots: number;
  /** Service time of a request, in milliseconds. */
  readonly serviceMs?: number;
  /** Added to the first requests of a fresh upstream, in milliseconds. */
  readonly coldMs?: number;
}

/** Hosts of one data centre, one daemon each; undefined stands for a host without an upstream. */
export interface DataCentreSpec {
  readonly name: string;
  readonly workers: readonly (WorkerSpec | undefined)[];
}

/** Settings of every daemon beyond addresses, which the cluster fills in. */
export type SettingsOverrides = Partial<
  Omit<DaemonSettings, 'cluster' | 'dataCentre' | 'id' | 'listen' | 'advertise' | 'platform'>
> & { readonly platform?: Partial<DaemonSettings['platform']> };

/** What a cluster consists of. */
export interface ClusterSpec {
  readonly name: string;
  readonly dataCentres: readonly DataCentreSpec[];
  readonly settings?: SettingsOverrides;
  /** One-way delay between data centres, in milliseconds. */
  readonly delayMs?: number;
}

/** One host: a daemon and the upstream beside it, which restart on the same addresses. */
export interface Host {
  readonly id: string;
  readonly dataCentre: string;
  readonly worker: WorkerSpec | undefined;
  readonly adminAddress: string;
  readonly callsAddress: string;
  /** Relay between the daemon and its upstream. */
  readonly upstreamLink: FaultProxy;
  getDaemon(): ManagedProcess;
  getUpstream(): ManagedProcess;
  /** Starts the daemon anew after its exit. */
  startDaemon(): Promise<void>;
  startUpstream(): Promise<void>;
  commandUpstream(change: Partial<UpstreamBehaviour>): Promise<void>;
  /** Requests that this host's upstreams ran, those of earlier processes included. */
  collectRuns(): Promise<readonly RunRecord[]>;
  /** Records of the upstream that runs now. */
  fetchRecords(): Promise<readonly UpstreamRecord[]>;
  close(): Promise<void>;
}

/** One run of a request by an upstream, from the line that it printed when it started. */
export interface RunRecord {
  readonly worker: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly path: string;
}

/**
 * A relay on a link between two data centres or between one and the platform. The links for calls
 * and those behind advertised addresses start at `*`: all other data centres share them.
 */
export interface ClusterLink {
  readonly from: string;
  /** IP number and port behind the relay. */
  readonly target: string;
  /** Data centre of the target, or `platform`. */
  readonly to: string;
  readonly kind: 'mesh' | 'calls' | 'platform';
  readonly proxy: FaultProxy;
}

/** Running processes of one deployment with a fault proxy on every link. */
export interface Cluster {
  readonly platform: PlatformProcess;
  readonly hosts: readonly Host[];
  readonly links: readonly ClusterLink[];
  findHost(id: string): Host;
  listHosts(dataCentre: string): readonly Host[];
  /**
   * Relays between two data centres, both ways; `platform` stands for the platform. With three data
   * centres or more the shared links of both are among them, which the third one uses as well.
   */
  listLinks(one: string, other: string): readonly FaultProxy[];
  /** Ends all faults of links, platform and upstreams; processes that died stay dead. */
  heal(): Promise<void>;
  close(): Promise<void>;
}

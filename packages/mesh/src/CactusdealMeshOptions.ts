import type { Clock, Log, Random } from '@cactusdeal/shared';
import type { OpenSocket } from './CactusdealMeshConnection.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/** Settings and dependencies of a daemon's mesh; times in milliseconds. */
export interface MeshOptions {
  /** Name of the cluster; daemons of other clusters are refused. */
  readonly cluster: string;
  readonly dataCentre: string;
  /** Member id; a peer with the same id is refused. */
  readonly id: string;
  /** Address to listen on; port 0 selects a free port, which the own member record contains. */
  readonly meshAddress: string;
  readonly callsAddress: string;
  readonly adminAddress: string;
  /** Addresses at which other data centres reach this daemon, if not those above. */
  readonly remoteMeshAddress?: string;
  readonly remoteCallsAddress?: string;
  /**
   * Mesh addresses in this data centre, dialled at start and without neighbours, and probed rarely.
   */
  readonly contacts: readonly string[];
  /** Mesh addresses in other data centres, by data centre. */
  readonly remoteContacts: Readonly<Record<string, readonly string[]>>;
  /** Interval of heartbeats, the base of all timeouts of failure detection. */
  readonly heartbeatMs: number;
  /** Interval of anti-entropy, on average. */
  readonly digestMs: number;
  /** Number of neighbours to dial for; up to `MAX_DEGREE_SLACK` more are accepted. */
  readonly activeDegree: number;
  /** Number of reader candidates in each data centre. */
  readonly readersPerDataCentre: number;
  readonly state: MeshState;
  readonly log: Log;
  /** Wall clock; the system's when absent. */
  readonly clock?: Clock;
  readonly random?: Random;
  /** Opens a socket to a peer; plain TCP when absent. */
  readonly openSocket?: OpenSocket;
  /** Returns mesh addresses; called only when contacts and known members lead to no neighbour. */
  readonly findContacts?: () => Promise<readonly string[]>;
  /** Returns readers of another data centre; called only when no known address leads to a link. */
  readonly findRemoteReaders?: (dataCentre: string) => Promise<readonly string[]>;
}

/** Neighbours that a daemon accepts beyond `activeDegree`. */
export const MAX_DEGREE_SLACK = 2;

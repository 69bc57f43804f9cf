import type { Clock, Log, Random } from '@cactusdeal/shared';
import type { OpenSocket } from './CactusdealMeshConnection.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/** What a daemon's settings and parts give its mesh. Times in milliseconds. */
export interface MeshOptions {
  readonly cluster: string;
  readonly dataCentre: string;
  readonly id: string;
  /** Address to listen on; port 0 takes a free one, which the own record then states. */
  readonly meshAddress: string;
  readonly callsAddress: string;
  readonly adminAddress: string;
  /** Addresses for daemons of other data centres, where they differ from those above. */
  readonly remoteMeshAddress?: string;
  readonly remoteCallsAddress?: string;
  /** Mesh addresses in this data centre, tried at start and when isolated. */
  readonly contacts: readonly string[];
  /** Mesh addresses in other data centres, by data centre. */
  readonly remoteContacts: Readonly<Record<string, readonly string[]>>;
  readonly heartbeatMs: number;
  readonly digestMs: number;
  /** Neighbours that this daemon seeks; it holds at most `MAX_DEGREE_SLACK` more. */
  readonly activeDegree: number;
  readonly readersPerDataCentre: number;
  readonly state: MeshState;
  readonly log: Log;
  readonly clock?: Clock;
  readonly random?: Random;
  /** Opens a socket to a peer's address; plain TCP when absent. */
  readonly openSocket?: OpenSocket;
  /** Asked for mesh addresses only when settings and remembered members lead nowhere. */
  readonly findContacts?: () => Promise<readonly string[]>;
  /** Asked for readers of another data centre only when no known address leads there. */
  readonly findRemoteReaders?: (dataCentre: string) => Promise<readonly string[]>;
}

/** Neighbours that a daemon accepts beyond those that it seeks. */
export const MAX_DEGREE_SLACK = 2;

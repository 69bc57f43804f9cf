import type { MeshConnection } from './CactusdealMeshConnection.js';
import type { MeshMessage } from './CactusdealMeshMessages.js';

/** The other end of a connection, as far as answering it needs. */
export interface Correspondent {
  readonly id: string;
  send(message: MeshMessage): void;
}

/** A member of the active view: a neighbour with an open connection. */
export interface Peer extends Correspondent {
  readonly address: string;
  readonly connection: MeshConnection;
  /** By the monotonic clock. */
  lastReceivedMs: number;
  /** Ids of values still to be announced to it. */
  readonly announcements: string[];
}

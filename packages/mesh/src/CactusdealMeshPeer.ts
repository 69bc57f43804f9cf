import type { MeshConnection } from './CactusdealMeshConnection.js';
import type { MeshMessage } from './CactusdealMeshMessages.js';

/** The remote end of a connection: its member id, and how to send to it. */
export interface RemoteEndpoint {
  readonly id: string;
  send(message: MeshMessage): void;
}

/** A member of the active view: a neighbour with an open connection. */
export interface Peer extends RemoteEndpoint {
  readonly address: string;
  readonly connection: MeshConnection;
  /** When the last message arrived, by the monotonic clock. */
  lastReceivedMs: number;
  /** Ids of broadcast values that the next announcement to this peer will list. */
  readonly announcements: string[];
}

import type { MeshConnection } from './CactusdealMeshConnection.js';
import type { MeshMessage } from './CactusdealMeshMessages.js';

/** A member of the active view: a neighbour with an open connection. */
export interface Peer {
  readonly id: string;
  readonly address: string;
  readonly connection: MeshConnection;
  /** By the monotonic clock. */
  lastReceivedMs: number;
  /** Ids of values still to be announced to it. */
  readonly announcements: string[];
}

/** Handles one message of a peer. */
export type HandleMessage = (peer: Peer, message: MeshMessage) => void;

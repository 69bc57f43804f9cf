import type { LogEntry } from '@cactusdeal/schema';
import type { Broadcast } from './CactusdealMeshBroadcast.js';
import { type Exchange, parseEntry } from './CactusdealMeshExchange.js';
import type { Overlay } from './CactusdealMeshOverlay.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/** Distributes versions of the configuration within the data centre. */
export interface Dissemination {
  /** Broadcasts a log entry that this daemon has just accepted. */
  publishEntry(entry: LogEntry): void;
  /**
   * Sends each neighbour a digest that states the version held here; neighbours that lack it
   * receive it by anti-entropy.
   */
  announceVersion(exchange: Exchange): void;
  /**
   * Registers a listener for publications and announcements; returns a function that removes it.
   */
  observe(listener: () => void): () => void;
}

/** Creates the dissemination of one daemon. */
export function createDissemination(options: {
  readonly broadcast: Broadcast;
  readonly overlay: Overlay;
}): Dissemination {
  const listeners = new Set<() => void>();
  return {
    publishEntry: (entry) => {
      options.broadcast.publish(`entry ${entry.version}`, { kind: 'entry', entry });
      listeners.forEach((listener) => listener());
    },
    announceVersion: (exchange) => {
      for (const peer of options.overlay.listPeers()) exchange.sendDigest(peer, true);
      listeners.forEach((listener) => listener());
    },
    observe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

/**
 * Registers the receiver of broadcast entries. When an entry does not follow the version held here,
 * a digest is sent to its sender, which answers with the missing entries.
 */
export function registerDissemination(options: {
  readonly broadcast: Broadcast;
  readonly exchange: Exchange;
  readonly dissemination: Dissemination;
  readonly state: MeshState;
}): void {
  const { broadcast, exchange, state } = options;
  broadcast.receive('entry', (body, peer) => {
    const entry = parseEntry(body.entry);
    if (state.acceptEntry(entry)) return true;
    if (entry.version > state.getHeadVersion()) exchange.sendDigest(peer, true);
    return false;
  });
}

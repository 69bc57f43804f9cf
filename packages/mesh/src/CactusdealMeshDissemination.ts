import type { LogEntry } from '@cactusdeal/schema';
import type { Broadcast } from './CactusdealMeshBroadcast.js';
import { type Exchange, parseEntry } from './CactusdealMeshExchange.js';
import type { Overlay } from './CactusdealMeshOverlay.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/** Spreads versions of the configuration. */
export interface Dissemination {
  publishEntry(entry: LogEntry): void;
  /** Tells the neighbours which version is held, so that they ask for it. */
  announceVersion(exchange: Exchange): void;
  /** Registers a listener that is told after a version was spread; returns its removal. */
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

/** Takes entries that are broadcast; one that leaves a gap makes this daemon ask its sender. */
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

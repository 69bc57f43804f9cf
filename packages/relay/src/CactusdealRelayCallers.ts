import type { Socket } from 'node:net';

/** An open connection of a caller. */
export interface Caller {
  /** Whether the caller has closed its side of the connection, so that it wants no answer. */
  readonly hasDisconnected: boolean;
  /** Calls the observer when the caller disconnects; returns a function that unsubscribes it. */
  onDisconnect(observer: () => void): () => void;
}

/** All open connections of callers. */
export interface Callers {
  /** Tracks a new connection until it is closed. */
  add(socket: Socket): void;
  /** Finds the caller of a connection; undefined once it is closed. */
  find(socket: Socket): Caller | undefined;
}

export function createCallers(): Callers {
  const callersBySocket = new Map<Socket, Caller>();
  return {
    add: (socket) => {
      const observers = new Set<() => void>();
      const caller = {
        hasDisconnected: false,
        onDisconnect: (observer: () => void) => {
          observers.add(observer);
          return () => observers.delete(observer);
        },
      };
      const disconnect = (): void => {
        caller.hasDisconnected = true;
        observers.forEach((observer) => observer());
      };
      callersBySocket.set(socket, caller);
      socket.on('end', disconnect);
      socket.on('close', () => {
        disconnect();
        callersBySocket.delete(socket);
      });
    },
    find: (socket) => callersBySocket.get(socket),
  };
}

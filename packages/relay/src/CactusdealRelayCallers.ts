import type { Socket } from 'node:net';

/** A connection of a caller. */
export interface Caller {
  /** Whether the caller has closed its side, so that no answer is wanted. */
  readonly hasLeft: boolean;
  /** Runs `leave` when the caller leaves; answers how to take that back. */
  observe(leave: () => void): () => void;
}

/** The connections of callers that are open. */
export interface Callers {
  add(socket: Socket): void;
  /** Undefined once the connection is closed. */
  find(socket: Socket): Caller | undefined;
}

export function createCallers(): Callers {
  const open = new Map<Socket, Caller>();
  return {
    add: (socket) => {
      const observers = new Set<() => void>();
      const caller = {
        hasLeft: false,
        observe: (leave: () => void) => {
          observers.add(leave);
          return () => observers.delete(leave);
        },
      };
      const leave = (): void => {
        caller.hasLeft = true;
        observers.forEach((observer) => observer());
      };
      open.set(socket, caller);
      socket.on('end', leave);
      socket.on('close', () => {
        leave();
        open.delete(socket);
      });
    },
    find: (socket) => open.get(socket),
  };
}

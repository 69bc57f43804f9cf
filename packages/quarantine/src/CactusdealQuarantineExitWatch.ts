import { connect, type Socket } from 'node:net';
import { probeAddress, toSocketTarget } from '@cactusdeal/shared';

/**
 * Finds out whether the process of an upstream ends after it has closed a connection. A process that
 * ends closes its connections before its listening socket, so that its address may accept a new one
 * for a moment.
 */
export interface ExitWatch {
  /**
   * Resolves to true once nothing listens at the address, to false if the process goes on. At most
   * one connection to the address is held open for this.
   */
  hasExited(address: string): Promise<boolean>;
  /** Ends all watches; they resolve to false. */
  close(): void;
}

/** Longest time from the first closed connection of a process to its end, in milliseconds. */
const EXIT_MS = 500;

export function createExitWatch(): ExitWatch {
  const watches = new Map<string, Promise<boolean>>();
  const sockets = new Set<Socket>();
  let isClosed = false;

  async function watch(address: string): Promise<boolean> {
    const hasStayedOpen = await holdConnection(address);
    return !hasStayedOpen && !isClosed && !(await probeAddress(address));
  }

  /** Whether a new connection to the address stays open for `EXIT_MS`. */
  function holdConnection(address: string): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect(toSocketTarget(address));
      sockets.add(socket);
      const timer = setTimeout(() => finish(true), EXIT_MS);
      socket.on('error', () => {});
      socket.once('close', () => finish(false));
      socket.resume();

      function finish(hasStayedOpen: boolean): void {
        clearTimeout(timer);
        sockets.delete(socket);
        resolve(hasStayedOpen);
        socket.destroy();
      }
    });
  }

  return {
    hasExited: (address) => {
      const running = watches.get(address);
      if (running !== undefined) return running;
      const started = watch(address).finally(() => watches.delete(address));
      watches.set(address, started);
      return started;
    },
    close: () => {
      isClosed = true;
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

import { connect, type Socket } from 'node:net';
import { probeAddress, toSocketTarget } from '@cactusdeal/shared';

/**
 * Finds out whether the process of an upstream ends after it has closed a connection. A process that
 * ends closes its connections before its listening socket, so that its address may accept a new one
 * for a moment.
 */
export interface ExitWatch {
  /** Watches an address; at most one connection to it is held open for this. */
  watch(address: string): ExitVerdicts;
  /** Ends all watches; no process counts as ended. */
  close(): void;
}

/** What a watch finds out, in this order. */
export interface ExitVerdicts {
  /** Whether the address accepts a new connection. */
  readonly isListening: Promise<boolean>;
  /** Whether nothing listens at the address, now or soon. */
  readonly hasExited: Promise<boolean>;
}

/** Longest time from the first closed connection of a process to its end, in milliseconds. */
const EXIT_MS = 500;

export function createExitWatch(): ExitWatch {
  const watches = new Map<string, ExitVerdicts>();
  const sockets = new Set<Socket>();
  let isClosed = false;

  function startWatch(address: string): ExitVerdicts {
    const { isListening, hasStayedOpen } = holdConnection(address);
    const hasExited = hasStayedOpen
      .then(async (isOpen) => !isOpen && !isClosed && !(await probeAddress(address)) && !isClosed)
      .finally(() => watches.delete(address));
    return { isListening, hasExited };
  }

  /** Connects to the address, and holds the connection for `EXIT_MS`. */
  function holdConnection(address: string): {
    readonly isListening: Promise<boolean>;
    readonly hasStayedOpen: Promise<boolean>;
  } {
    const socket = connect(toSocketTarget(address));
    sockets.add(socket);
    socket.on('error', () => {});
    socket.resume();
    const isListening = new Promise<boolean>((resolve) => {
      socket.once('connect', () => resolve(true));
      socket.once('close', () => resolve(false));
    });
    const hasStayedOpen = new Promise<boolean>((resolve) => {
      const timer = setTimeout(() => finish(true), EXIT_MS);
      socket.once('close', () => finish(false));

      function finish(isOpen: boolean): void {
        clearTimeout(timer);
        sockets.delete(socket);
        resolve(isOpen);
        socket.destroy();
      }
    });
    return { isListening, hasStayedOpen };
  }

  return {
    watch: (address) => {
      const running = watches.get(address);
      if (running !== undefined) return running;
      const started = startWatch(address);
      watches.set(address, started);
      return started;
    },
    close: () => {
      isClosed = true;
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

import { createServer, type Server, type Socket } from 'node:net';
import { parseAddress } from '@cactusdeal/shared';

/** A bound TCP listener. */
export interface Listener {
  /** Bound address with the actual port. */
  readonly address: string;
  /** Stops accepting, and closes the accepted sockets after their queued data was sent. */
  close(): Promise<void>;
}

/** Binds `address`; port 0 selects a free port. Rejects with the error of the operating system. */
export function openListener(
  address: string,
  acceptSocket: (socket: Socket) => void,
): Promise<Listener> {
  const { host, port } = parseAddress(address);
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    acceptSocket(socket);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port }, () => {
      server.off('error', reject);
      resolve({ address: formatBound(server, address), close: () => closeServer(server, sockets) });
    });
  });
}

function formatBound(server: Server, address: string): string {
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`;
}

function closeServer(server: Server, sockets: ReadonlySet<Socket>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    sockets.forEach((socket) => socket.destroySoon());
  });
}

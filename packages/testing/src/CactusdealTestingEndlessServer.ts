import { createServer, type Socket } from 'node:net';

/** What a server sends in answer to the first data on a connection. */
export interface EndlessData {
  /** Sent once. */
  readonly start: string;
  /** Sent again and again until the connection is closed. */
  readonly unit: string;
}

/** A server that sends data without end. */
export interface EndlessServer {
  /** `IP:PORT`. */
  readonly address: string;
  /** Resolves, when the first connection has closed, to the number of bytes that it has taken. */
  readonly takenBytes: Promise<number>;
  close(): void;
}

/** A piece of text of 64 KiB, for units. */
export const LONG_TEXT = 'x'.repeat(64 * 1024);

/** Starts a server on a free port of this host. */
export async function startEndlessServer(data: EndlessData): Promise<EndlessServer> {
  let settle: (bytes: number) => void = () => {};
  const takenBytes = new Promise<number>((resolve) => {
    settle = resolve;
  });
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('close', () => settle(socket.bytesWritten));
    writeEndlessly(socket, data);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as { port: number };
  return { address: `127.0.0.1:${port}`, takenBytes, close: () => server.close() };
}

function writeEndlessly(socket: Socket, { start, unit }: EndlessData): void {
  const writeMore = (): void => {
    while (!socket.destroyed && socket.write(unit));
  };
  socket.on('drain', writeMore);
  socket.once('data', () => {
    socket.write(start);
    writeMore();
  });
}

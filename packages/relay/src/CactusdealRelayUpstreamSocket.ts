import { connect, type Socket } from 'node:net';
import { type ConnectionEndWatch, parseAddress, watchConnectionEnd } from '@cactusdeal/shared';

/** What is known of a connection to the upstream beyond what the HTTP client tells. */
export interface ConnectionState {
  /** Undefined until it is connected. */
  socket: Socket | undefined;
  /** Undefined until it is connected. */
  end: ConnectionEndWatch | undefined;
  /** Whether the current answer ends with the connection. */
  endsWithConnection: boolean;
  /** Requests sent on the connection, with the current one. */
  requests: number;
  /** Whether the current answer names its request. */
  isNamed: boolean;
  /** Bytes read from the socket before the current request. */
  bytesBefore: number;
  /** Bytes of the body of the current answer so far. */
  bodyBytes: number;
}

/** Most bytes that an answer may have beside its body: its head, interim responses, chunk sizes. */
const MAX_FRAMING_BYTES = 256 * 1024;
/** The same for each byte of the body, for a body in the smallest chunks. */
const FRAMING_BYTES_PER_BODY_BYTE = 8;

export function createConnectionState(): ConnectionState {
  return {
    socket: undefined,
    end: undefined,
    endsWithConnection: false,
    requests: 0,
    isNamed: false,
    bytesBefore: 0,
    bodyBytes: 0,
  };
}

/** Starts the counts of a request. */
export function startCounts(connectionState: ConnectionState): void {
  const state = connectionState;
  state.requests += 1;
  state.bytesBefore = state.socket?.bytesRead ?? 0;
  state.bodyBytes = 0;
  state.endsWithConnection = false;
}

/**
 * Says why the data read since the request cannot be an answer; undefined if it can. The HTTP client
 * itself limits heads and bodies, but neither status lines nor chunk extensions.
 */
function findExcess({ socket, bytesBefore, bodyBytes }: ConnectionState): string | undefined {
  // What is read ahead of the HTTP client, while it is paused, is no framing yet.
  const parsedBytes = (socket?.bytesRead ?? 0) - (socket?.readableLength ?? 0) - bytesBefore;
  const framingBytes = parsedBytes - bodyBytes;
  const limit = MAX_FRAMING_BYTES + bodyBytes * FRAMING_BYTES_PER_BODY_BYTE;
  if (framingBytes <= limit) return undefined;
  return `${framingBytes} bytes beside ${bodyBytes} bytes of body, allowed: ${limit}`;
}

const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Opens a socket, watches its end for `connectionState` and destroys it at data that cannot belong to an answer. The
 * data is checked as it is read: until a timer runs, a local upstream may send many times the limit.
 */
export function openSocket(
  address: string,
  connectionState: ConnectionState,
  callback: (...result: [Error, null] | [null, Socket]) => void,
): void {
  const state = connectionState;
  const { host, port } = parseAddress(address);
  const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });
  const timer = setTimeout(
    () =>
      socket.destroy(
        new Error(`connecting to ${address} took longer than ${CONNECT_TIMEOUT_MS} ms`),
      ),
    CONNECT_TIMEOUT_MS,
  );
  let isOpen = false;
  socket.on('error', (error) => {
    clearTimeout(timer);
    if (!isOpen) callback(error, null);
  });
  state.end = watchConnectionEnd(socket, () => state.endsWithConnection);
  socket.on('readable', () => {
    const excess = findExcess(state);
    if (excess !== undefined) socket.destroy(new Error(excess));
  });
  socket.on('connect', () => {
    isOpen = true;
    state.socket = socket;
    clearTimeout(timer);
    callback(null, socket);
  });
}

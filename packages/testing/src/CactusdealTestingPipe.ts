import type net from 'node:net';

const MAX_QUEUED_BYTES = 4 * 1024 * 1024;

/** Faults and byte count of one direction, shared by all connections of a proxy. */
export interface PipeFaults {
  /** Delay of the chunks that arrive from now on. */
  delayMs: number;
  /** Bytes are queued but not forwarded. */
  isStalled: boolean;
  /** Arriving bytes are dropped. */
  isDropping: boolean;
  /** Bytes that arrived, dropped ones included. */
  byteCount: number;
}

/** One direction of one relayed connection. */
export interface Pipe {
  /** Stops forwarding for good, without closing a socket. */
  silence(): void;
  /** Forwards the queued chunks that are due. */
  flush(): void;
  /** Whether bytes were dropped or the pipe was silenced, so that the stream is incomplete. */
  hasLostBytes(): boolean;
  /** Discards the queued chunks and cancels the timer. */
  close(): void;
}

interface QueuedChunk {
  readonly dueAtMs: number;
  /** Undefined stands for the end of the stream. */
  readonly bytes: Buffer | undefined;
}

/**
 * Relays `from` to `to` through a queue that applies the delay. Pauses `from` while the queue holds
 * more than 4 MiB. The end of the stream is queued when `beforeEnd` has resolved.
 */
export function createPipe(
  from: net.Socket,
  to: net.Socket,
  faults: PipeFaults,
  beforeEnd: () => Promise<void> = () => Promise.resolve(),
): Pipe {
  const queue: QueuedChunk[] = [];
  let queuedBytes = 0;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let hasLostBytes = false;

  from.on('data', (bytes: Buffer) => {
    Object.assign(faults, { byteCount: faults.byteCount + bytes.length });
    addChunk(bytes);
  });
  from.on('end', () => {
    beforeEnd().then(() => addChunk(undefined));
  });
  to.on('drain', flush);

  function addChunk(bytes: Buffer | undefined): void {
    if (isStopped) return;
    if (faults.isDropping) {
      hasLostBytes = true;
      return;
    }
    queue.push({ dueAtMs: performance.now() + faults.delayMs, bytes });
    queuedBytes += bytes?.length ?? 0;
    if (queuedBytes > MAX_QUEUED_BYTES) from.pause();
    flush();
  }

  function flush(): void {
    if (timer !== undefined || faults.isStalled || isStopped) return;
    for (let first = queue[0]; first !== undefined; [first] = queue) {
      const remainingMs = first.dueAtMs - performance.now();
      if (remainingMs > 0) {
        timer = setTimeout(handleTimer, remainingMs);
        return;
      }
      if (to.writableNeedDrain) return;
      sendFirst(first);
    }
  }

  function handleTimer(): void {
    timer = undefined;
    flush();
  }

  function sendFirst(first: QueuedChunk): void {
    queue.shift();
    queuedBytes -= first.bytes?.length ?? 0;
    if (from.isPaused() && queuedBytes <= MAX_QUEUED_BYTES) from.resume();
    if (first.bytes === undefined) to.end();
    else to.write(first.bytes);
  }

  function close(): void {
    clearTimeout(timer);
    isStopped = true;
    queue.length = 0;
  }

  return {
    silence: () => {
      close();
      hasLostBytes = true;
    },
    flush,
    hasLostBytes: () => hasLostBytes,
    close,
  };
}

import type net from 'node:net';

const MAX_HELD_BYTES = 4 * 1024 * 1024;

/** Faults of one direction, shared by all connections of a proxy; read at each chunk. */
export interface PipeFaults {
  delayMs: number;
  isStalled: boolean;
  isCut: boolean;
  bytes: number;
}

/** One direction of one relayed connection. */
export interface Pipe {
  /** Carries nothing more, for good. */
  goSilent(): void;
  /** Forwards what a stall held back. */
  flush(): void;
  hasLostBytes(): boolean;
  close(): void;
}

interface HeldChunk {
  readonly dueAtMs: number;
  /** Undefined stands for the end of the stream. */
  readonly bytes: Buffer | undefined;
}

/**
 * Relays `from` to `to` through a delay line; the line pauses its source when it is full. The end of
 * the stream is passed on after `beforeEnd`.
 */
export function createPipe(
  from: net.Socket,
  to: net.Socket,
  faults: PipeFaults,
  beforeEnd: () => Promise<void> = () => Promise.resolve(),
): Pipe {
  const held: HeldChunk[] = [];
  let heldBytes = 0;
  let timer: NodeJS.Timeout | undefined;
  let isSilent = false;
  let lostBytes = false;

  from.on('data', (bytes: Buffer) => {
    Object.assign(faults, { bytes: faults.bytes + bytes.length });
    hold(bytes);
  });
  from.on('end', () => {
    beforeEnd().then(() => hold(undefined));
  });
  to.on('drain', flush);

  function hold(bytes: Buffer | undefined): void {
    if (isSilent) return;
    if (faults.isCut) {
      lostBytes = true;
      return;
    }
    held.push({ dueAtMs: performance.now() + faults.delayMs, bytes });
    heldBytes += bytes?.length ?? 0;
    if (heldBytes > MAX_HELD_BYTES) from.pause();
    flush();
  }

  function flush(): void {
    if (timer !== undefined || faults.isStalled || isSilent) return;
    for (let head = held[0]; head !== undefined; [head] = held) {
      const waitMs = head.dueAtMs - performance.now();
      if (waitMs > 0) {
        timer = setTimeout(handleDue, waitMs);
        return;
      }
      if (to.writableNeedDrain) return;
      sendHead(head);
    }
  }

  function handleDue(): void {
    timer = undefined;
    flush();
  }

  function sendHead(head: HeldChunk): void {
    held.shift();
    heldBytes -= head.bytes?.length ?? 0;
    if (from.isPaused() && heldBytes <= MAX_HELD_BYTES) from.resume();
    if (head.bytes === undefined) to.end();
    else to.write(head.bytes);
  }

  function close(): void {
    clearTimeout(timer);
    isSilent = true;
    held.length = 0;
  }

  return {
    goSilent: () => {
      close();
      lostBytes = true;
    },
    flush,
    hasLostBytes: () => lostBytes,
    close,
  };
}

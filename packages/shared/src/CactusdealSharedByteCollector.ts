import type { ByteBudget } from './CactusdealSharedByteBudget.js';

/**
 * Collects a byte stream that another party sends. It needs memory in proportion to the bytes that it
 * holds, however small the chunks are in which they arrive.
 */
export interface ByteCollector {
  /**
   * Adds a chunk, which must not change afterwards. False if the bytes exceed a limit; all that was
   * collected is then discarded, and further chunks are ignored, except with `keepsOnShortage`.
   */
  add(chunk: Uint8Array): boolean;
  /** Number of bytes held. */
  countBytes(): number;
  /** Returns all bytes in order and starts anew. */
  take(): Buffer;
  /** Discards all bytes and starts anew. */
  discard(): void;
}

export interface ByteCollectorOptions {
  /** Most bytes to hold. */
  readonly maxBytes: number;
  /** Shared with other collectors; the bytes held are taken from it. */
  readonly budget?: ByteBudget;
  /** First bytes that are not taken from the budget, so that large streams do not shut out small ones. */
  readonly reservedBytes?: number;
  /** Keeps what is held when a chunk finds no room in the budget, so that the chunk can be added later. */
  readonly keepsOnShortage?: boolean;
}

/** Smallest chunk that is kept without a copy; a buffer object costs over a hundred bytes itself. */
const MIN_KEPT_BYTES = 4 * 1024;
/** Sizes of the blocks that smaller chunks are copied into. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;
const NO_BYTES = Buffer.alloc(0);

/** Creates an empty collector. */
export function createByteCollector({
  maxBytes,
  budget,
  reservedBytes = 0,
  keepsOnShortage = false,
}: ByteCollectorOptions): ByteCollector {
  let pieces: Buffer[] = [];
  let size = 0;
  let hasExceeded = false;
  /** The block that chunks are copied into; its bytes from `blockStart` to `blockEnd` are no piece yet. */
  let block = NO_BYTES;
  let blockStart = 0;
  let blockEnd = 0;

  return {
    add: (chunk) => {
      if (hasExceeded) return false;
      if (!takeRoom(size + chunk.byteLength)) {
        if (keepsOnShortage && size + chunk.byteLength <= maxBytes) return false;
        discard();
        hasExceeded = true;
        return false;
      }
      if (isWorthKeeping(chunk) || (size === chunk.byteLength && isSmallAlone(chunk)))
        holdChunk(chunk);
      else addCopy(chunk);
      return true;
    },
    countBytes: () => size,
    take: () => {
      finishPiece();
      const [first = NO_BYTES] = pieces;
      const bytes = pieces.length <= 1 ? first : Buffer.concat(pieces, size);
      discard();
      return bytes;
    },
    discard,
  };

  function takeRoom(newSize: number): boolean {
    if (newSize > maxBytes) return false;
    if (budget?.take(countShared(newSize) - countShared(size)) === false) return false;
    size = newSize;
    return true;
  }

  /** Bytes of a stream of this size that are taken from the budget. */
  function countShared(bytes: number): number {
    return Math.max(0, bytes - reservedBytes);
  }

  function holdChunk(chunk: Uint8Array): void {
    finishPiece();
    pieces.push(toBuffer(chunk));
  }

  function addCopy(chunk: Uint8Array): void {
    let rest = chunk;
    while (rest.byteLength > 0) {
      if (blockEnd === block.length) startBlock();
      const copied = Math.min(rest.byteLength, block.length - blockEnd);
      block.set(rest.subarray(0, copied), blockEnd);
      blockEnd += copied;
      rest = rest.subarray(copied);
    }
  }

  /** Starts a block that grows with what is held, so that at most half of all memory is unused. */
  function startBlock(): void {
    finishPiece();
    const blockBytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, size));
    block = Buffer.allocUnsafe(blockBytes);
    blockStart = 0;
    blockEnd = 0;
  }

  function finishPiece(): void {
    if (blockEnd > blockStart) pieces.push(block.subarray(blockStart, blockEnd));
    blockStart = blockEnd;
  }

  function discard(): void {
    budget?.release(countShared(size));
    size = 0;
    hasExceeded = false;
    pieces = [];
    block = NO_BYTES;
    blockStart = 0;
    blockEnd = 0;
  }
}

/** Whether the chunk is large, and is most of the memory that it would keep in use. */
function isWorthKeeping({ byteLength, buffer }: Uint8Array): boolean {
  return byteLength >= MIN_KEPT_BYTES && buffer.byteLength <= 2 * byteLength;
}

/** Whether a first chunk, often the only one, keeps no more memory in use than the block to copy it into. */
function isSmallAlone({ buffer }: Uint8Array): boolean {
  return buffer.byteLength <= MIN_BLOCK_BYTES;
}

/** Views the bytes as a buffer, without a copy. */
export function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes)
    ? bytes
    : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

import { type Clock, getMonotonicMs } from './CactusdealSharedTime.js';

/** A source of chunks that can be paused. */
export interface PausableSource {
  pause(): unknown;
  resume(): unknown;
}

/** Paces the chunks of one source. */
export interface SourcePace {
  /** Counts a chunk; pauses the source for a while if it sends very many small ones. */
  countChunk(bytes: number): void;
  /** Ends the pacing; a paused source goes on. */
  close(): void;
}

/**
 * Shares the processor between sources: what a chunk costs hardly depends on its size, so that a source of
 * tiny chunks could otherwise keep the event loop from all others.
 */
export interface ChunkPacer {
  watch(source: PausableSource): SourcePace;
  /** Resumes no source any more. */
  close(): void;
}

interface PacedSource {
  readonly source: PausableSource;
  chunks: number;
  bytes: number;
  isPaused: boolean;
}

/** A source is paced once it has sent this number of chunks, if they are small on average. */
const MIN_PACED_CHUNKS = 256;
/** Average size of a small chunk, in bytes. */
const SMALL_CHUNK_BYTES = 256;
/** Small chunks per millisecond that all paced sources together may send. */
const CHUNKS_PER_MS = 100;
/** Most small chunks at once, before a source is paused. */
const BURST_CHUNKS = 2_000;
/** Chunks that a source may send when it goes on after a pause. */
const RESUMED_CHUNKS = 500;

/** Creates a pacer for all sources of a process. */
export function createChunkPacer(clock: Clock = getMonotonicMs): ChunkPacer {
  const paused = new Set<PacedSource>();
  /** Chunks that may be sent now; negative after those that were read before a pause took effect. */
  let allowance = BURST_CHUNKS;
  let allowedAtMs = clock();
  let timer: NodeJS.Timeout | undefined;
  return {
    watch: (source) => {
      const paced = { source, chunks: 0, bytes: 0, isPaused: false };
      return {
        countChunk: (bytes) => countChunk(paced, bytes),
        close: () => {
          if (paused.delete(paced)) source.resume();
        },
      };
    },
    close: () => {
      clearTimeout(timer);
      paused.clear();
    },
  };

  function countChunk(pacedSource: PacedSource, bytes: number): void {
    const paced = pacedSource;
    paced.chunks += 1;
    paced.bytes += bytes;
    const isSmall = paced.bytes < paced.chunks * SMALL_CHUNK_BYTES;
    if (paced.chunks < MIN_PACED_CHUNKS || !isSmall) return;
    updateAllowance();
    allowance -= 1;
    if (allowance >= 0 || paced.isPaused) return;
    paced.isPaused = true;
    paced.source.pause();
    paused.add(paced);
    timer ??= scheduleNext();
  }

  function updateAllowance(): void {
    const nowMs = clock();
    allowance = Math.min(BURST_CHUNKS, allowance + (nowMs - allowedAtMs) * CHUNKS_PER_MS);
    allowedAtMs = nowMs;
  }

  function scheduleNext(): NodeJS.Timeout {
    return setTimeout(startNext, (RESUMED_CHUNKS - allowance) / CHUNKS_PER_MS);
  }

  /** Resumes the source that has been paused for longest. */
  function startNext(): void {
    timer = undefined;
    updateAllowance();
    const [next] = paused;
    if (next === undefined) return;
    if (allowance >= RESUMED_CHUNKS) {
      paused.delete(next);
      next.isPaused = false;
      next.source.resume();
    }
    if (paused.size > 0) timer ??= scheduleNext();
  }
}

/** A number of bytes that several collectors may hold together. */
export interface ByteBudget {
  /** Takes bytes; false if fewer are left, then it takes none. */
  take(bytes: number): boolean;
  /** Gives bytes back that were taken. */
  release(bytes: number): void;
}

/** Creates a budget of `maxBytes`. */
export function createByteBudget(maxBytes: number): ByteBudget {
  let takenBytes = 0;
  return {
    take: (bytes) => {
      if (takenBytes + bytes > maxBytes) return false;
      takenBytes += bytes;
      return true;
    },
    release: (bytes) => {
      takenBytes -= bytes;
    },
  };
}

import { type ByteBudget, type ByteCollector, createByteCollector } from '@cactusdeal/shared';
import { MAX_MESSAGE_BYTES } from './CactusdealRelayFrames.js';

/** Bodies of calls that are arriving over one link in pieces, ahead of their calls. */
export interface CallBodies {
  add(piece: { readonly id: number; readonly bytes: Uint8Array }): void;
  /** Takes the body of a call that has arrived. */
  take(id: number): TakenBody;
  /** Discards the body of a cancelled call; false if none of it has arrived. */
  discard(id: number): boolean;
  /** Discards all of them. */
  close(): void;
}

/** What has arrived of a call's body. */
export type TakenBody =
  | { readonly type: 'whole'; readonly bytes: Uint8Array }
  /** It was too large, or there was no room for it. */
  | { readonly type: 'excess' }
  /** The call has no body that went ahead. */
  | { readonly type: 'none' };

interface ArrivingBody {
  readonly pieces: ByteCollector;
  hasExceeded: boolean;
}

/** Creates the record of a link that has just opened; what it holds is taken from `budget`. */
export function createCallBodies(budget: ByteBudget): CallBodies {
  const bodies = new Map<number, ArrivingBody>();
  return {
    add: ({ id, bytes }) => {
      const body = bodies.get(id) ?? createArrivingBody(budget);
      bodies.set(id, body);
      if (!body.pieces.add(bytes)) body.hasExceeded = true;
    },
    take: (id) => {
      const body = bodies.get(id);
      if (body === undefined) return { type: 'none' };
      bodies.delete(id);
      return body.hasExceeded ? { type: 'excess' } : { type: 'whole', bytes: body.pieces.take() };
    },
    discard: (id) => {
      bodies.get(id)?.pieces.discard();
      return bodies.delete(id);
    },
    close: () => {
      bodies.forEach(({ pieces }) => pieces.discard());
      bodies.clear();
    },
  };
}

function createArrivingBody(budget: ByteBudget): ArrivingBody {
  const pieces = createByteCollector({ maxBytes: MAX_MESSAGE_BYTES, budget });
  return { pieces, hasExceeded: false };
}

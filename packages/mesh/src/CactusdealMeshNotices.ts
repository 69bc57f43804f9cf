import { type Channel, type Clock, createChannel } from '@cactusdeal/shared';
import type { Broadcast } from './CactusdealMeshBroadcast.js';

/** A small value that was broadcast in the data centre. */
export interface Notice {
  readonly topic: string;
  readonly value: unknown;
}

/** Publication of notices, which reach each daemon at most once per topic and id. */
export interface Notices {
  /** Broadcasts a notice; does nothing when its id was published or received before. */
  publish(topic: string, id: string, value: unknown): void;
  /** Emits the notices that other daemons published. */
  readonly received: Channel<Notice>;
}

/** How long a notice is forwarded, and its id is recognised as a duplicate. */
export const NOTICE_LIFETIME_MS = 300_000;
const MAX_REMEMBERED_IDS = 10_000;

/** Creates the notices of one daemon. The clock is the wall clock, since expiry times are sent. */
export function createNotices(broadcast: Broadcast, clock: Clock): Notices {
  const received = createChannel<Notice>();
  /** Expiry time of each id, in order of arrival. */
  const seen = new Map<string, number>();

  /** Returns whether the id is new; deletes expired ids, and the oldest ones beyond the limit. */
  function recordId(id: string, expiresAtMs: number): boolean {
    for (const [known, atMs] of seen) {
      if (atMs > clock() && seen.size < MAX_REMEMBERED_IDS) break;
      seen.delete(known);
    }
    if (seen.has(id)) return false;
    seen.set(id, expiresAtMs);
    return true;
  }

  broadcast.receive('notice', ({ topic, id, value, expiresAtMs }) => {
    if (typeof topic !== 'string' || typeof id !== 'string') return false;
    if (typeof expiresAtMs !== 'number' || expiresAtMs <= clock()) return false;
    const boundedMs = Math.min(expiresAtMs, clock() + 2 * NOTICE_LIFETIME_MS);
    if (!recordId(`${topic} ${id}`, boundedMs)) return false;
    received.push({ topic, value });
    return true;
  });

  return {
    publish: (topic, id, value) => {
      const expiresAtMs = clock() + NOTICE_LIFETIME_MS;
      if (!recordId(`${topic} ${id}`, expiresAtMs)) return;
      const body = { kind: 'notice', topic, id, value, expiresAtMs };
      broadcast.publish(`notice ${topic} ${id}`.slice(0, 160), body);
    },
    received,
  };
}

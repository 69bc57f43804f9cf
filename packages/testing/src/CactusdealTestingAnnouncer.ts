import type { WorkerAnnouncement } from '@cactusdeal/schema';
import { waitMs } from '@cactusdeal/shared';
import { request } from 'undici';
import type { UpstreamBehaviour } from './CactusdealTestingUpstreamTypes.js';

const RENEW_INTERVAL_MS = 1000;
const POLL_INTERVAL_MS = 50;
const REQUEST_TIMEOUT_MS = 2000;

/** Announces an upstream to the daemon on its host and keeps the announcement from expiring. */
export interface Announcer {
  /** Requests to the daemon that got no response or a status of 300 or above. */
  getFailureCount(): number;
  /** Stops announcing and tells the daemon that the upstream left. */
  close(): Promise<void>;
}

interface AnnouncerOptions {
  readonly name: string;
  readonly address: string;
  readonly services: readonly string[];
  readonly slots: number;
  /** Admin address of the daemon; undefined: nothing is announced. */
  readonly admin: string | undefined;
}

/** Announces at once, then every second and whenever `behaviour.state` changes. */
export function startAnnouncer(
  options: AnnouncerOptions,
  behaviour: Readonly<UpstreamBehaviour>,
): Announcer {
  const stop = new AbortController();
  let failureCount = 0;
  const task = announceUntilStopped();
  return {
    getFailureCount: () => failureCount,
    close: async () => {
      stop.abort();
      await task;
      await sendToDaemon('DELETE', undefined);
    },
  };

  async function announceUntilStopped(): Promise<void> {
    let sentState = '';
    let sentAtMs = -Infinity;
    while (!stop.signal.aborted) {
      const isDue =
        performance.now() - sentAtMs >= RENEW_INTERVAL_MS || sentState !== behaviour.state;
      if (isDue && !behaviour.isMute) {
        sentState = behaviour.state;
        sentAtMs = performance.now();
        await sendToDaemon('PUT', buildAnnouncement(options, behaviour));
      }
      await waitMs(POLL_INTERVAL_MS, stop.signal);
    }
  }

  async function sendToDaemon(method: 'PUT' | 'DELETE', body: unknown): Promise<void> {
    if (options.admin === undefined) return;
    try {
      const { statusCode, body: responseBody } = await request(
        `http://${options.admin}/v1/workers/${options.name}`,
        {
          method,
          body: body === undefined ? null : JSON.stringify(body),
          headers: { 'content-type': 'application/json' },
          headersTimeout: REQUEST_TIMEOUT_MS,
          bodyTimeout: REQUEST_TIMEOUT_MS,
        },
      );
      await responseBody.dump();
      if (statusCode >= 300) failureCount += 1;
    } catch {
      failureCount += 1;
    }
  }
}

function buildAnnouncement(
  options: AnnouncerOptions,
  behaviour: Readonly<UpstreamBehaviour>,
): WorkerAnnouncement {
  return {
    address: options.address,
    services: [...options.services] as WorkerAnnouncement['services'],
    slots: options.slots,
    state: behaviour.state,
  };
}

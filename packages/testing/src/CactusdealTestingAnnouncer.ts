import type { WorkerAnnouncement } from '@cactusdeal/schema';
import { waitMs } from '@cactusdeal/shared';
import { request } from 'undici';
import type { UpstreamBehaviour } from './CactusdealTestingUpstreamTypes.js';

const RENEW_MS = 1000;
const POLL_MS = 50;
const TIMEOUT_MS = 2000;

/** Keeps an upstream announced at the daemon on its host. */
export interface Announcer {
  /** Announcements that the daemon did not take. */
  getFailures(): number;
  /** Announces that the upstream left. */
  close(): Promise<void>;
}

interface AnnouncerOptions {
  readonly name: string;
  readonly address: string;
  readonly services: readonly string[];
  readonly slots: number;
  readonly admin: string | undefined;
}

/** Announces at once, then every second and whenever the behaviour's state changes. */
export function startAnnouncer(
  options: AnnouncerOptions,
  behaviour: Readonly<UpstreamBehaviour>,
): Announcer {
  const stop = new AbortController();
  let failures = 0;
  const task = run();
  return {
    getFailures: () => failures,
    close: async () => {
      stop.abort();
      await task;
      await send('DELETE', undefined);
    },
  };

  async function run(): Promise<void> {
    let sentState = '';
    let sentAtMs = -Infinity;
    while (!stop.signal.aborted) {
      const isDue = performance.now() - sentAtMs >= RENEW_MS || sentState !== behaviour.state;
      if (isDue && !behaviour.isMute) {
        sentState = behaviour.state;
        sentAtMs = performance.now();
        await send('PUT', buildAnnouncement(options, behaviour));
      }
      await waitMs(POLL_MS, stop.signal);
    }
  }

  async function send(method: 'PUT' | 'DELETE', body: unknown): Promise<void> {
    if (options.admin === undefined) return;
    try {
      const { statusCode, body: answer } = await request(
        `http://${options.admin}/v1/workers/${options.name}`,
        {
          method,
          body: body === undefined ? null : JSON.stringify(body),
          headers: { 'content-type': 'application/json' },
          headersTimeout: TIMEOUT_MS,
          bodyTimeout: TIMEOUT_MS,
        },
      );
      await answer.dump();
      if (statusCode >= 300) failures += 1;
    } catch {
      failures += 1;
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

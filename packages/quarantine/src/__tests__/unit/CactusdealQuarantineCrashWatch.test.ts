import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createSilentLog, getMonotonicMs, waitMs } from '@cactusdeal/shared';
import { createCrashWatch } from '../../index.js';

interface Case {
  readonly name: string;
  /** Time from the first interrupted call until the process no longer listens; it goes on if absent. */
  readonly listensForMs?: number;
  /** Calls that were cancelled before: a fingerprint, and for how long the upstream may run it. */
  readonly cancelled?: readonly (readonly [fingerprint: string, durationMs: number])[];
  /** Interrupted calls: a fingerprint, and the calls in flight at its end. */
  readonly calls: readonly (readonly [fingerprint: string, inFlight: number])[];
  readonly expected: readonly (readonly [fingerprint: string, inFlight: number])[];
}

const cases: readonly Case[] = [
  { name: 'that goes on', calls: [['a', 1]], expected: [] },
  { name: 'that has ended', listensForMs: 0, calls: [['a', 1]], expected: [['a', 1]] },
  { name: 'that ends soon', listensForMs: 100, calls: [['a', 1]], expected: [['a', 1]] },
  {
    name: 'that interrupted several calls',
    listensForMs: 0,
    calls: [
      ['a', 3],
      ['b', 2],
      ['a', 1],
    ],
    expected: [
      ['a', 3],
      ['b', 3],
    ],
  },
  {
    name: 'that ran a cancelled call and one whose time was over',
    listensForMs: 0,
    cancelled: [
      ['c', 1_000],
      ['d', -1],
    ],
    calls: [['a', 1]],
    expected: [
      ['c', 2],
      ['a', 2],
    ],
  },
  {
    name: 'that ran only a cancelled call, and accepts no connection',
    listensForMs: 0,
    cancelled: [['c', 1_000]],
    calls: [],
    expected: [['c', 1]],
  },
  {
    name: 'that goes on after a cancelled call',
    cancelled: [['c', 1_000]],
    calls: [],
    expected: [],
  },
];

describe('the crash watch of a process', () => {
  cases.forEach(({ name, listensForMs, cancelled = [], calls, expected }) => {
    it(`${name}: records ${expected.length} fingerprints`, async (context) => {
      const sockets = new Set<Socket>();
      const server = createServer((socket) => {
        sockets.add(socket);
        socket.on('error', () => {});
      });
      const address = await listen(server);
      const recorded: (readonly [string, number])[] = [];
      const watch = createCrashWatch({
        recordCrash: (fingerprint, inFlight) => recorded.push([fingerprint, inFlight]),
        clock: getMonotonicMs,
        log: createSilentLog(),
      });
      context.after(() => {
        watch.close();
        void closeProcess(server, sockets);
      });
      if (listensForMs === 0) await closeProcess(server, sockets);
      cancelled.forEach(([fingerprint, durationMs]) => {
        const untilMs = getMonotonicMs() + durationMs;
        watch.receiveCancelled({ address, fingerprint, untilMs });
      });
      watch.receiveUnreachable(address);
      const verdicts = calls.map(([fingerprint, inFlight]) =>
        watch.receiveInterrupted({ address, fingerprint, inFlight }),
      );
      await Promise.all(verdicts);
      if (listensForMs !== undefined && listensForMs > 0) {
        await waitMs(listensForMs);
        await closeProcess(server, sockets);
      }
      const endMs = performance.now() + 1_000;
      while (recorded.length < expected.length && performance.now() < endMs) await waitMs(5);
      assert.deepEqual(recorded, expected);
    });
  });
});

async function listen(server: Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Stops listening and closes the connections, as the end of the process does. */
async function closeProcess(server: Server, sockets: ReadonlySet<Socket>): Promise<void> {
  if (!server.listening) return;
  const closed = once(server, 'close');
  server.close();
  sockets.forEach((socket) => socket.destroy());
  await closed;
}

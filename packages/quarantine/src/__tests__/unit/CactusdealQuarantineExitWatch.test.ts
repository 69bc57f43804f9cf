import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createExitWatch } from '../../CactusdealQuarantineExitWatch.js';

interface Case {
  readonly name: string;
  /** What the process does when the watch has connected. */
  readonly behave: (server: Server, socket: Socket) => void;
  readonly hasExited: boolean;
}

const cases: readonly Case[] = [
  { name: 'goes on', behave: () => {}, hasExited: false },
  {
    name: 'goes on, but closes the connection',
    behave: (_, socket) => socket.destroy(),
    hasExited: false,
  },
  {
    name: 'ends',
    behave: (server, socket) => {
      server.close();
      socket.resetAndDestroy();
    },
    hasExited: true,
  },
];

describe('the exit watch of a process that', () => {
  cases.forEach(({ name, behave, hasExited }) => {
    it(`${name}: ${hasExited ? 'exited' : 'not exited'}`, async (context) => {
      let connections = 0;
      const server = createServer((socket) => {
        connections += 1;
        socket.on('error', () => {});
        behave(server, socket);
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const watch = createExitWatch();
      context.after(() => {
        watch.close();
        server.close();
      });
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
      const verdicts = [watch.watch(address), watch.watch(address)];
      const results = await Promise.all(verdicts.map((verdict) => verdict.hasExited));
      assert.deepEqual(results, [hasExited, hasExited]);
      assert.ok(connections <= 2, `${connections} connections for two watches and a probe`);
    });
  });
});

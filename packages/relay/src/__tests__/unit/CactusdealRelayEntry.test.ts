import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { parseAddress } from '@cactusdeal/shared';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import {
  type TestHost,
  NAMES,
  sendCall,
  startCluster,
  type TestCluster,
} from '../CactusdealRelayWorld.js';

const configuration = {
  ...buildConfiguration([buildRule({ name: 'repeatable', prefix: '/' })]),
  services: new Set(['records']),
};

interface Case {
  readonly name: string;
  /** What callers send, and whether each leaves with its last byte. */
  readonly callers: readonly { readonly path: string; readonly leaves: boolean }[];
  /** Paths that the upstream gets. */
  readonly served: readonly string[];
}

const cases: readonly Case[] = [
  { name: 'a caller that waits', callers: [{ path: '/a', leaves: false }], served: ['/a'] },
  { name: 'a caller that has left', callers: [{ path: '/b', leaves: true }], served: [] },
  {
    name: 'one of two that has left',
    callers: [
      { path: '/c', leaves: true },
      { path: '/d', leaves: false },
    ],
    served: ['/d'],
  },
];

describe('calls that the entry reads late', () => {
  let cluster: TestCluster;
  let host: TestHost;

  before(async () => {
    cluster = await startCluster(configuration, ['records']);
    [host] = cluster.hosts as [TestHost];
    // The gate keeps the connection, so that the next call is sent at once.
    await sendCall(host);
  });
  after(() => cluster.close());

  cases.forEach(({ name, callers, served }) => {
    it(`passes ${served.length} on after ${name}`, async () => {
      host.requests.splice(0);
      const sockets = await Promise.all(callers.map(() => openConnection(host)));
      callers.forEach(({ path, leaves }, index) => {
        const request = `GET ${path} HTTP/1.1\r\nHost: a.example\r\n${NAMES.callId}: c${path}\r\n\r\n`;
        if (leaves) sockets[index]?.end(request);
        else sockets[index]?.write(request);
      });
      // What is asked later is answered later, so the others had their chance.
      await sendCall(host, { path: '/last' });
      await sendCall(host, { path: '/last' });
      const paths = host.requests.map(({ url }) => url).filter((url) => url !== '/last');
      assert.deepEqual(paths, served);
      sockets.forEach((socket) => socket.destroy());
    });
  });
});

function openConnection({ entryAddress }: TestHost): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(parseAddress(entryAddress));
    socket.once('error', reject);
    socket.once('connect', () => resolve(socket));
  });
}

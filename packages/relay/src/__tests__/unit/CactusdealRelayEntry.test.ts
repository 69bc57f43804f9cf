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
} from '../CactusdealRelayTestCluster.js';

const configuration = {
  ...buildConfiguration([buildRule({ name: 'repeatable', prefix: '/' })]),
  services: new Set(['records']),
};

interface Case {
  readonly name: string;
  /**
   * The request of each caller, and whether the caller closes its side of the connection right
   * after it.
   */
  readonly callers: readonly { readonly path: string; readonly disconnects: boolean }[];
  /** Paths of the requests that reach the upstream. */
  readonly served: readonly string[];
}

const cases: readonly Case[] = [
  { name: 'a caller that waits', callers: [{ path: '/a', disconnects: false }], served: ['/a'] },
  {
    name: 'a caller that has disconnected',
    callers: [{ path: '/b', disconnects: true }],
    served: [],
  },
  {
    name: 'two callers of which one has disconnected',
    callers: [
      { path: '/c', disconnects: true },
      { path: '/d', disconnects: false },
    ],
    served: ['/d'],
  },
];

describe('calls that the entry reads together with a disconnection', () => {
  let cluster: TestCluster;
  let host: TestHost;

  before(async () => {
    cluster = await startCluster(configuration, ['records']);
    [host] = cluster.hosts as [TestHost];
    // Opens the connections to the gate and the upstream, so that the next call is sent without
    // delay.
    await sendCall(host);
  });
  after(() => cluster.close());

  cases.forEach(({ name, callers, served }) => {
    it(`forwards ${served.length} from ${name}`, async () => {
      host.requests.splice(0);
      const sockets = await Promise.all(callers.map(() => openConnection(host)));
      callers.forEach(({ path, disconnects }, index) => {
        const request = `GET ${path} HTTP/1.1\r\nHost: a.example\r\n${NAMES.callId}: c${path}\r\n\r\n`;
        if (disconnects) sockets[index]?.end(request);
        else sockets[index]?.write(request);
      });
      // Later calls are answered later, so by then the earlier ones would have reached the
      // upstream.
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

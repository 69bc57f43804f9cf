import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { parseAddress } from '@cactusdeal/shared';
import { encodeMessage, MessageKind } from '../../CactusdealRelayFrames.js';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import { sendCall, startCluster, type TestHost } from '../CactusdealRelayTestCluster.js';

const configuration = buildConfiguration([buildRule()]);
const nested = (depth: number): unknown => (depth === 0 ? [] : [nested(depth - 1)]);

const hellos: readonly [name: string, address: unknown][] = [
  ['a port out of range', '127.0.0.1:70000'],
  ['a port that is no number', '127.0.0.1:x'],
  ['a number for an address', 1e300],
  ['a nested address', nested(500)],
];

describe('a daemon that links with', () => {
  hellos.forEach(([name, address]) => {
    it(`${name} is refused, and calls go on`, async (context) => {
      const cluster = await startCluster(configuration, ['records', 'records']);
      context.after(() => cluster.close());
      const [host] = cluster.hosts as [TestHost];
      const socket = connect(parseAddress(host.linkAddress));
      socket.on('error', () => {});
      socket.resume();
      socket.write(encodeMessage([MessageKind.Hello, 'd9', 'west', address, 0, -1, 'records']));
      await once(socket, 'close');
      assert.equal((await sendCall(host)).status, 200);
    });
  });
});

import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { FaultDirection, type FaultProxy, startFaultProxy, waitUntil } from '../../index.js';

interface Client {
  readonly socket: net.Socket;
  readonly seen: { text: string; isClosed: boolean };
}

const servers: net.Server[] = [];
const received: { text: string } = { text: '' };
let proxy: FaultProxy;

beforeEach(async () => {
  received.text = '';
  const server = net.createServer((socket) => {
    socket.on('data', (bytes) => {
      received.text += String(bytes);
      socket.write(`<${String(bytes)}>`);
    });
    socket.on('error', () => {});
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  servers.push(server);
  proxy = await startFaultProxy({
    target: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
  });
});

afterEach(async () => {
  await proxy.close();
  servers.splice(0).forEach((server) => server.close());
});

const cases: readonly {
  name: string;
  run: (client: Client) => Promise<void>;
}[] = [
  {
    name: 'relays and counts bytes in both directions',
    run: async (client) => {
      client.socket.write('a');
      await waitFor(client, '<a>');
      assert.deepEqual(proxy.getByteCounts(), { forward: 1, backward: 3 });
    },
  },
  {
    name: 'keeps bytes in order when the delay is lowered',
    run: async (client) => {
      proxy.setDelay(10);
      client.socket.write('a');
      await waitUntil(() => proxy.getByteCounts().forward === 1, {
        what: 'the first byte at the proxy',
      });
      proxy.setDelay(1);
      client.socket.write('b');
      await waitUntil(() => received.text === 'ab', { what: 'both bytes at the server' });
      await waitUntil(() => client.seen.text.length === 6 || client.seen.text === '<ab>', {
        what: 'both responses at the client',
      });
    },
  },
  {
    name: 'holds the bytes of a stalled direction back until it heals',
    run: async (client) => {
      proxy.stall(FaultDirection.Backward);
      client.socket.write('a');
      await waitUntil(() => proxy.getByteCounts().backward === 3, {
        what: 'the response at the proxy',
      });
      assert.equal(client.seen.text, '');
      proxy.heal();
      await waitFor(client, '<a>');
    },
  },
  {
    name: 'drops the bytes of one cut direction and resets that connection when it heals',
    run: async (client) => {
      proxy.cut(FaultDirection.Backward);
      client.socket.write('a');
      await waitUntil(() => proxy.getByteCounts().backward === 3, {
        what: 'the response at the proxy',
      });
      assert.equal(received.text, 'a');
      proxy.heal();
      await waitUntil(() => client.seen.isClosed, { what: 'the reset of the connection' });
      assert.equal(client.seen.text, '');
    },
  },
  {
    name: 'resets open and new connections while both directions are cut, until it heals',
    run: async (client) => {
      proxy.cut(FaultDirection.Both);
      await waitUntil(() => client.seen.isClosed, { what: 'the reset of the connection' });
      const second = openClient(proxy.address);
      await waitUntil(() => second.seen.isClosed, { what: 'the reset of the new connection' });
      proxy.heal();
      const third = openClient(proxy.address);
      third.socket.write('c');
      await waitFor(third, '<c>');
    },
  },
  {
    name: 'carries no bytes on silenced connections while new ones work',
    run: async (client) => {
      proxy.silenceOpenConnections();
      client.socket.write('a');
      await waitUntil(() => proxy.getByteCounts().forward === 1, { what: 'the byte at the proxy' });
      const second = openClient(proxy.address);
      second.socket.write('b');
      await waitFor(second, '<b>');
      assert.equal(received.text, 'b');
      assert.equal(client.seen.isClosed, false);
    },
  },
  {
    name: 'resets every open connection while new ones work',
    run: async (client) => {
      proxy.resetOpenConnections();
      await waitUntil(() => client.seen.isClosed, { what: 'the reset of the connection' });
      const second = openClient(proxy.address);
      second.socket.write('b');
      await waitFor(second, '<b>');
    },
  },
];

describe('startFaultProxy', () => {
  cases.forEach(({ name, run }) => {
    it(name, async () => {
      const client = openClient(proxy.address);
      await waitUntil(() => proxy.getOpenConnectionCount() === 1, {
        what: 'the connection at the proxy',
      });
      await run(client);
    });
  });
});

function openClient(address: string): Client {
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  const seen = { text: '', isClosed: false };
  socket.on('data', (bytes) => {
    seen.text += String(bytes);
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    seen.isClosed = true;
  });
  return { socket, seen };
}

async function waitFor(client: Client, text: string): Promise<void> {
  await waitUntil(() => client.seen.text === text, { what: `"${text}" at the client` });
}

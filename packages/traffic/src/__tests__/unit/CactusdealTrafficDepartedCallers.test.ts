import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { parseAddress, waitMs } from '@cactusdeal/shared';
import { sendCall, startTestDaemon, startUpstream } from '../CactusdealTrafficFixtures.js';

const CALLERS = 20;
/** Paths of the calls after those of the callers that left. */
const LATER = ['/records/later/1', '/records/later/2'];

interface Case {
  readonly name: string;
  readonly body: string;
  /** Whether other daemons serve the calls. */
  readonly isRemote: boolean;
}

const cases: readonly Case[] = [false, true].flatMap((isRemote) =>
  ['', 'a body'].map((body) => ({
    name: `${isRemote ? 'another gate' : 'the own gate'}, ${body === '' ? 'no body' : body}`,
    body,
    isRemote,
  })),
);

// Guards against GONE: calls ran that were read together with the departure of their callers.
describe('calls whose callers left before they were read', () => {
  const open: { close(): Promise<void> }[] = [];
  afterEach(async () => {
    await Promise.all(open.splice(0).map((one) => one.close()));
  });

  cases.forEach(({ name, body, isRemote }) => {
    it(`do not reach the upstream: ${name}`, async () => {
      const upstream = await startUpstream((_, response) => response.end('ok'));
      const gate = await startTestDaemon({ memberId: 'gate', upstream: upstream.address });
      const entry = isRemote ? await startTestDaemon({ memberId: 'entry' }) : gate;
      entry.local = [gate.gate];
      open.push(...new Set([entry.listener, gate.listener, upstream]));
      const { address } = entry.listener;
      // Opens the connections behind the entry, so that the next calls are sent without delay.
      await sendCall(address, '/records/first');
      upstream.requests.splice(0);
      const sockets = await Promise.all(Array.from({ length: CALLERS }, () => openSocket(address)));
      sockets.forEach((socket, index) => {
        const fields = `Host: a\r\nContent-Length: ${body.length}`;
        socket.end(`POST /records/${index} HTTP/1.1\r\n${fields}\r\n\r\n${body}`);
      });
      // They are answered later than those before them would have been.
      for (const path of LATER) assert.equal((await sendCall(address, path)).status, 200);
      await waitMs(20);
      assert.deepEqual(
        upstream.requests,
        LATER.map((path) => `GET ${path}`),
      );
      sockets.forEach((socket) => socket.destroy());
    });
  });
});

function openSocket(address: string): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(parseAddress(address));
    socket.once('error', reject);
    socket.once('connect', () => resolve(socket));
  });
}

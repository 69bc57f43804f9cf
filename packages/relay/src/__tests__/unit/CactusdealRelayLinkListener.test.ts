import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import {
  createByteBudget,
  createSilentLog,
  getMonotonicMs,
  parseAddress,
} from '@cactusdeal/shared';
import {
  createMessageReader,
  encodeMessage,
  type Message,
  MessageKind,
} from '../../CactusdealRelayFrames.js';
import type { Gate } from '../../CactusdealRelayGate.js';
import { startLinkListener } from '../../CactusdealRelayLinkListener.js';
import { buildNotRun, NotRunReason } from '../../CactusdealRelayTypes.js';
import { toCallMessage } from '../../CactusdealRelayWire.js';
import { buildCall, buildGateView, NO_CRASHES } from '../CactusdealRelayFixtures.js';
import { findAddress, NAMES, waitUntil } from '../CactusdealRelayTestCluster.js';

const PING: Message = [MessageKind.Ping];

interface Case {
  readonly name: string;
  /** Messages that arrive in one chunk. */
  readonly messages: readonly Message[];
  /** Paths of the calls that reach the gate, with the sizes of their bodies. */
  readonly served: readonly string[];
}

const piece = (id: number, bytes: number): Message => [
  MessageKind.CallPiece,
  id,
  new Uint8Array(bytes),
];

const cases: readonly Case[] = [
  {
    name: 'a call',
    messages: [toCallMessage(1, buildCall({ path: '/a' }), 0)],
    served: ['/a'],
  },
  {
    name: 'a call and its cancellation',
    messages: [toCallMessage(1, buildCall({ path: '/a' }), 0), [MessageKind.Cancel, 1]],
    served: [],
  },
  {
    name: 'a call whose body went ahead in two pieces',
    messages: [piece(1, 3), piece(1, 4), toCallMessage(1, buildCall({ path: '/a' }), 0)],
    served: ['/a 7'],
  },
  {
    name: 'pieces of a body and the cancellation of its call',
    messages: [
      piece(1, 3),
      [MessageKind.Cancel, 1],
      toCallMessage(2, buildCall({ path: '/b' }), 0),
    ],
    served: ['/b'],
  },
  {
    name: 'a call whose body finds no room',
    messages: [piece(1, 200), toCallMessage(1, buildCall({ path: '/a' }), 0)],
    served: [],
  },
  {
    name: 'two calls and the cancellation of one',
    messages: [
      toCallMessage(1, buildCall({ path: '/a' }), 0),
      toCallMessage(2, buildCall({ path: '/b' }), 0),
      [MessageKind.Cancel, 1],
    ],
    served: ['/b'],
  },
];

describe('calls that arrive over a link', () => {
  cases.forEach(({ name, messages, served }) => {
    it(`serves ${served.length} after ${name}`, async () => {
      const paths: string[] = [];
      const address = await findAddress();
      const listener = await startLinkListener({
        self: { id: 'd1', dataCentre: 'west', service: 'records', address },
        gate: createRecordingGate(paths),
        getStatus: () => ({ version: 1, platformAgeMs: 0 }),
        buildUpdate: () => undefined,
        listDepartures: () => [],
        receiveDeparture: () => {},
        ...NO_CRASHES,
        receiveMember: () => {},
        linkBytes: createByteBudget(100),
        recordCancelled: () => {},
        names: NAMES,
        clock: getMonotonicMs,
        log: createSilentLog(),
      });
      const received: Message[] = [];
      const socket = connect(parseAddress(address));
      socket.on('data', createMessageReader((message) => received.push(message)).read);
      socket.write(Buffer.concat([...messages, PING].map((message) => encodeMessage(message))));
      await waitUntil(() => received.some(([kind]) => kind === MessageKind.Pong), 'all is read');
      await waitUntil(() => paths.length >= served.length, 'served');
      assert.deepEqual(paths, served);
      socket.destroy();
      await listener.close();
    });
  });
});

function createRecordingGate(paths: string[]): Gate {
  return {
    serve: (call) => {
      paths.push(call.body === undefined ? call.path : `${call.path} ${call.body.byteLength}`);
      return { end: Promise.resolve(buildNotRun(NotRunReason.Closed)), cancel: () => {} };
    },
    setUpstream: () => {},
    getReport: () => buildGateView().report,
    estimateServiceMs: () => 0,
    isRunning: () => false,
    getLimit: () => undefined,
    restoreLimit: () => {},
    recordNestedFailure: () => {},
    drain: () => {},
    close: () => {},
  };
}

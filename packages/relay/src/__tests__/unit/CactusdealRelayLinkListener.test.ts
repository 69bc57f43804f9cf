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
import { createDownlink, type Downlink } from '../../CactusdealRelayDownlink.js';
import type { Gate } from '../../CactusdealRelayGate.js';
import { type LinkListener, startLinkListener } from '../../CactusdealRelayLinkListener.js';
import { buildNotRun, NotRunReason } from '../../CactusdealRelayTypes.js';
import { toCallMessage, toCallOfferMessage } from '../../CactusdealRelayWire.js';
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
      const listener = await startTestListener(address, paths);
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

/** Largest grant of a downlink of 10 Mbit/s, in bytes. */
const WINDOW_BYTES = 32 * 1024;
const offer = (id: number, bytes: number, targetMs: number): Message =>
  toCallOfferMessage({ id, bytes, targetMs, kind: 'k' });

interface OfferCase {
  readonly name: string;
  readonly messages: readonly Message[];
  /** Kind, id and bytes of the grants and refusals that answer them. */
  readonly replies: readonly (readonly [kind: number, id: number, bytes?: number])[];
}

const offerCases: readonly OfferCase[] = [
  {
    name: 'a part of one body',
    messages: [offer(1, 60_000, 1_000)],
    replies: [[MessageKind.CallGrant, 1, WINDOW_BYTES]],
  },
  {
    name: 'nothing of a second body until the first has arrived',
    messages: [offer(1, 60_000, 1_000), offer(2, 60_000, 1_000)],
    replies: [[MessageKind.CallGrant, 1, WINDOW_BYTES]],
  },
  {
    name: 'a second body after the first is cancelled',
    messages: [offer(1, 60_000, 1_000), offer(2, 20_000, 1_000), [MessageKind.Cancel, 1]],
    replies: [
      [MessageKind.CallGrant, 1, WINDOW_BYTES],
      [MessageKind.CallGrant, 2, 20_000],
    ],
  },
  {
    name: 'nothing of a body that would be late, which is refused',
    messages: [offer(1, 1_000_000, 500), offer(2, 100_000, 600)],
    replies: [
      [MessageKind.CallGrant, 1, WINDOW_BYTES],
      [MessageKind.NotRun, 2],
    ],
  },
];

// Guards against SHORT: small calls were given up behind the large bodies of many senders at one host's link.
describe('a daemon that is offered large bodies grants', () => {
  offerCases.forEach(({ name, messages, replies }) => {
    it(name, async (context) => {
      const address = await findAddress();
      const downlink = createDownlink(10, getMonotonicMs);
      const listener = await startTestListener(address, [], downlink);
      const received: Message[] = [];
      const socket = connect(parseAddress(address));
      context.after(async () => {
        socket.destroy();
        downlink.close();
        await listener.close();
      });
      socket.on('data', createMessageReader((message) => received.push(message)).read);
      socket.write(Buffer.concat([...messages, PING].map((message) => encodeMessage(message))));
      await waitUntil(() => received.some(([kind]) => kind === MessageKind.Pong), 'all is read');
      const answers = received
        .filter(([kind]) => kind === MessageKind.CallGrant || kind === MessageKind.NotRun)
        .map(([kind, id, bytes]) =>
          kind === MessageKind.CallGrant ? [kind, id, bytes] : [kind, id],
        );
      assert.deepEqual(answers, replies);
    });
  });
});

function startTestListener(
  address: string,
  paths: string[],
  downlink?: Downlink,
): Promise<LinkListener> {
  return startLinkListener({
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
    downlink,
    names: NAMES,
    clock: getMonotonicMs,
    log: createSilentLog(),
  });
}

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

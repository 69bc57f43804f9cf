import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createSilentLog, getMonotonicMs, parseAddress } from '@cactusdeal/shared';
import {
  createMessageReader,
  encodeMessage,
  type Message,
  MessageKind,
} from '../../CactusdealRelayFrames.js';
import { createMemoryBudgets } from '../../CactusdealRelayMemory.js';
import { createPeer, type Peer, SILENCE_CHECK_MS } from '../../CactusdealRelayPeer.js';
import {
  type AttemptEnd,
  buildNotRun,
  type GateCall,
  type Member,
  NotRunReason,
} from '../../CactusdealRelayTypes.js';
import {
  toCallGrantMessage,
  toCallOfferMessage,
  toEndMessage,
  toHelloMessage,
  toReportMessage,
} from '../../CactusdealRelayWire.js';
import { findAddress, waitUntil } from '../CactusdealRelayTestCluster.js';
import { buildCall, NO_CRASHES } from '../CactusdealRelayFixtures.js';

const self: Member = { id: 'd1', dataCentre: 'west', service: 'desk', address: '127.0.0.1:1' };
const status = { version: 1, platformAgeMs: -1 };
const report = {
  service: 'records',
  open: true,
  capacity: 4,
  load: 0,
  serviceMs: 10,
  failureRate: 0,
};
const answered: AttemptEnd = {
  type: 'answered',
  answer: { status: 200, headers: [], body: new Uint8Array(2) },
  serviceMs: 5,
  queuedMs: 0,
  nestedFailed: false,
  limit: undefined,
};

/** A daemon that greets and then says nothing until the test does. */
interface SilentDaemon {
  readonly peer: Peer;
  /** Messages that it has received. */
  readonly received: Message[];
  send(message: Message): void;
  countConnections(): number;
  endLink(): void;
  close(): void;
}

async function startDaemon(greetedId = 'd2', takesPieces = true): Promise<SilentDaemon> {
  const address = await findAddress();
  const member = { ...self, id: 'd2', service: 'records', address };
  const received: Message[] = [];
  const sockets: Socket[] = [];
  const send = (message: Message): unknown => sockets.at(-1)?.write(encodeMessage(message));
  const server: Server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => {});
    const { read } = createMessageReader((message) => received.push(message));
    socket.on('data', (chunk: Buffer) => read(chunk));
    const hello = toHelloMessage({ ...member, id: greetedId }, status, 0);
    // The last field is missing from a daemon that does not know pieces.
    send((takesPieces ? hello : hello.slice(0, -1)) as unknown as Message);
    send(toReportMessage(report));
  });
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve) => {
    server.listen(port, host, resolve);
  });
  const peer = createPeer({
    member,
    self,
    getStatus: () => status,
    listDepartures: () => [],
    getLimit: () => undefined,
    recordLimit: () => {},
    receiveDeparture: () => {},
    ...NO_CRASHES,
    receiveStatus: () => {},
    receiveUpdate: () => {},
    clock: getMonotonicMs,
    linkBytes: createMemoryBudgets().links,
    log: createSilentLog(),
  });
  const timer = setInterval(() => peer.checkSilence(), SILENCE_CHECK_MS);
  return {
    peer,
    received,
    send,
    countConnections: () => sockets.length,
    endLink: () => sockets.at(-1)?.destroy(),
    close: () => {
      clearInterval(timer);
      peer.close();
      server.close();
    },
  };
}

const buildTestCall = (idempotent: boolean): GateCall =>
  buildCall({ remainingMs: 10_000, targetMs: 1_000, kind: 'k', idempotent });

describe('a daemon that falls silent with calls running', () => {
  it('keeps the call that may have run, whose answer still arrives', async (context) => {
    const daemon = await startDaemon();
    context.after(() => daemon.close());
    const { peer } = daemon;
    await waitUntil(() => peer.getService() === 'records', 'the report arrives');
    const once = peer.send(buildTestCall(false), 0).end;
    const repeatable = peer.send(buildTestCall(true), 0).end;
    assert.deepEqual(await repeatable, { type: 'unknown', reason: 'link-lost' });
    assert.equal(peer.getView('k', 100)?.avoidedUntilMs, Infinity, 'it gets no new call');
    daemon.send(toEndMessage(1, answered, report));
    assert.equal((await once).type, 'answered');
    assert.equal(daemon.countConnections(), 1);
    assert.ok(
      daemon.received.some(([kind, id]) => kind === MessageKind.Cancel && id === 2),
      'the call that runs elsewhere is cancelled',
    );
    assert.notEqual(peer.getView('k', 100)?.avoidedUntilMs, Infinity, 'it is used again');
  });

  it('loses its link once no call waits on it', async (context) => {
    const daemon = await startDaemon();
    context.after(() => daemon.close());
    await waitUntil(() => daemon.peer.getService() === 'records', 'the report arrives');
    const end = await daemon.peer.send(buildTestCall(true), 0).end;
    assert.equal(end.type, 'unknown');
    await waitUntil(() => daemon.countConnections() === 2, 'a new link is opened');
  });
});

describe('a daemon that answers at the address of another', () => {
  it('gets no calls', async (context) => {
    const daemon = await startDaemon('d9');
    context.after(() => daemon.close());
    await waitUntil(() => daemon.countConnections() >= 2, 'the link is closed and opened again');
    assert.equal(daemon.peer.getStatus(), undefined);
  });
});

describe('a call with a large body', () => {
  const buildLargeCall = (bytes: number): GateCall => ({
    ...buildTestCall(false),
    body: new Uint8Array(bytes),
  });
  const isCall = ([kind]: Message): boolean => kind === MessageKind.Call;

  // The body is larger than what the kernel takes at once on loopback.
  it('goes in pieces, behind which a small call does not wait', async (context) => {
    const daemon = await startDaemon();
    context.after(() => daemon.close());
    await waitUntil(() => daemon.peer.getService() === 'records', 'the report arrives');
    void daemon.peer.send(buildLargeCall(20_000_000), 0);
    void daemon.peer.send(buildTestCall(true), 0);
    await waitUntil(() => daemon.received.filter(isCall).length === 2, 'both calls arrive');
    assert.deepEqual(
      daemon.received.filter(isCall).map(([, id]) => id),
      [2, 1],
    );
    const pieces = daemon.received.filter(([kind]) => kind === MessageKind.CallPiece);
    const bytes = pieces.reduce((sum, piece) => sum + (piece[2] as Uint8Array).byteLength, 0);
    assert.equal(bytes, 20_000_000);
  });

  // Guards against SHORT: many daemons sent large bodies to one host at once, and small calls waited behind them.
  it('goes no further than the daemon has granted', async (context) => {
    const daemon = await startDaemon();
    context.after(() => daemon.close());
    await waitUntil(() => daemon.peer.getService() === 'records', 'the report arrives');
    daemon.send(toHelloMessage(daemon.peer.member, status, 0, true));
    daemon.send(toReportMessage({ ...report, service: 'granting' }));
    await waitUntil(() => daemon.peer.getService() === 'granting', 'the hello arrives');
    const countBytes = (): number =>
      daemon.received
        .filter(([kind]) => kind === MessageKind.CallPiece)
        .reduce((sum, piece) => sum + (piece[2] as Uint8Array).byteLength, 0);
    void daemon.peer.send(buildLargeCall(60_000), 0);
    void daemon.peer.send(buildTestCall(true), 0);
    await waitUntil(() => daemon.received.some(isCall), 'the small call arrives');
    assert.deepEqual(
      daemon.received.find(([kind]) => kind === MessageKind.CallOffer),
      toCallOfferMessage({ id: 1, bytes: 60_000, targetMs: 1_000, kind: 'k' }),
    );
    assert.equal(countBytes(), 0);
    daemon.send(toCallGrantMessage(1, 20_000));
    void daemon.peer.send(buildTestCall(true), 0);
    await waitUntil(() => daemon.received.filter(isCall).length === 2, 'the next one arrives');
    await waitUntil(() => countBytes() === 20_000, 'what is granted arrives');
    daemon.send(toCallGrantMessage(1, 40_000));
    await waitUntil(() => daemon.received.filter(isCall).length === 3, 'the large one arrives');
    assert.equal(countBytes(), 60_000);
  });

  it('goes whole to a daemon that does not know pieces', async (context) => {
    const daemon = await startDaemon('d2', false);
    context.after(() => daemon.close());
    await waitUntil(() => daemon.peer.getService() === 'records', 'the report arrives');
    void daemon.peer.send(buildLargeCall(400_000), 0);
    await waitUntil(() => daemon.received.some(isCall), 'the call arrives');
    const call = daemon.received.find(isCall);
    assert.equal((call?.[6] as Uint8Array).byteLength, 400_000);
    assert.ok(daemon.received.every(([kind]) => kind !== MessageKind.CallPiece));
  });

  it('has not run if the link is lost before its last piece, so that it may run elsewhere', async (context) => {
    const daemon = await startDaemon();
    context.after(() => daemon.close());
    await waitUntil(() => daemon.peer.getService() === 'records', 'the report arrives');
    const { end } = daemon.peer.send(buildLargeCall(30_000_000), 0);
    daemon.endLink();
    assert.deepEqual(await end, buildNotRun(NotRunReason.Unreachable));
  });

  it('is not sent any further once it is cancelled', async (context) => {
    const daemon = await startDaemon();
    context.after(() => daemon.close());
    await waitUntil(() => daemon.peer.getService() === 'records', 'the report arrives');
    daemon.peer.send(buildLargeCall(30_000_000), 0).cancel();
    void daemon.peer.send(buildTestCall(true), 0);
    await waitUntil(() => daemon.received.some(isCall), 'the next call arrives');
    assert.deepEqual(
      daemon.received.filter(isCall).map(([, id]) => id),
      [2],
    );
    assert.ok(daemon.received.some(([kind, id]) => kind === MessageKind.Cancel && id === 1));
  });
});

import { createServer, type Server, type Socket } from 'node:net';
import { formatCaught, type Log, parseAddress } from '@cactusdeal/shared';
import {
  createMessageReader,
  encodeMessage,
  type Message,
  MessageKind,
} from './CactusdealRelayFrames.js';
import type { Gate } from './CactusdealRelayGate.js';
import { createReadAhead, type ReadAhead } from './CactusdealRelayReadAhead.js';
import type { Attempt, GateCall, Member } from './CactusdealRelayTypes.js';
import type { VersionUpdate } from './CactusdealRelayVersionHistory.js';
import {
  parseCall,
  parseHello,
  type Status,
  toEndMessage,
  toHelloMessage,
  toReportMessage,
  toStatusMessage,
  toUpdateMessage,
} from './CactusdealRelayWire.js';

/** Takes the links that other daemons dial, and their calls to this daemon's gate. */
export interface LinkListener {
  /** Tells all of a gate that opened or closed. */
  pushReport(): void;
  /** Tells the own data centre of a new version or new word from the platform. */
  pushStatus(): void;
  /** Calls of other daemons that have not ended. */
  countCalls(): number;
  close(): Promise<void>;
}

export interface LinkListenerOptions {
  readonly self: Member;
  readonly gate: Gate;
  readonly getStatus: () => Status;
  /** What a daemon needs that holds the version. */
  readonly buildUpdate: (version: number) => VersionUpdate | undefined;
  /** Runs when a daemon dialled that may not be known yet. */
  readonly receiveMember: (member: Member) => void;
  readonly log: Log;
}

interface Accepted {
  readonly socket: Socket;
  readonly calls: Map<number, Attempt>;
  /** Calls that were read and may be cancelled by what arrived with them. */
  readonly unserved: Map<number, GateCall>;
  readonly readAhead: ReadAhead;
  isLocal: boolean;
  /** Load that the other side was told last. */
  toldLoad: number;
}

/** Time between looks at what daemons of the own data centre have not been told, in milliseconds. */
const LOCAL_REPORT_MS = 500;
/** Time between reports to other data centres, over links that are dear; also the longest silence of any link. */
const REMOTE_REPORT_MS = 10_000;
/** Time between words of a daemon that reads the platform, in milliseconds. */
const READER_STATUS_MS = 1_000;
/** Load below this part of the slots changes no choice, and is not told. */
const QUIET_PART = 0.4;

/** Starts listening; rejects when the address is taken. */
export async function startLinkListener(options: LinkListenerOptions): Promise<LinkListener> {
  const links = new Set<Accepted>();
  const server = createServer({ noDelay: true }, (socket) => {
    acceptLink(options, links, socket);
  });
  await startListening(server, options.self.address);
  const timers = [
    setInterval(pushNews, LOCAL_REPORT_MS),
    setInterval(pushReaderStatus, READER_STATUS_MS),
    setInterval(() => pushReport(() => true), REMOTE_REPORT_MS),
  ];
  return {
    pushReport: () => pushReport(() => true),
    pushStatus,
    countCalls: () => [...links].reduce((sum, link) => sum + link.calls.size, 0),
    close: () => {
      timers.forEach(clearInterval);
      links.forEach(({ socket }) => socket.destroy());
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };

  /** An idle gate has nothing to tell, and a busy one tells its load with each answer too. */
  function pushNews(): void {
    const { load, capacity } = options.gate.getReport();
    const quietLoad = capacity * QUIET_PART;
    pushReport(({ isLocal, toldLoad }) => isLocal && Math.max(load, toldLoad) > quietLoad);
  }

  function pushReport(accept: (link: Accepted) => boolean): void {
    const report = options.gate.getReport();
    const frame = encodeMessage(toReportMessage(report));
    links.forEach((held) => {
      const link = held;
      if (!accept(link)) return;
      link.toldLoad = report.load;
      link.socket.write(frame);
    });
  }

  function pushStatus(): void {
    const frame = encodeMessage(toStatusMessage(options.getStatus()));
    links.forEach(({ isLocal, socket }) => {
      if (isLocal) socket.write(frame);
    });
  }

  function pushReaderStatus(): void {
    if (options.getStatus().platformAgeMs >= 0) pushStatus();
  }
}

function acceptLink(options: LinkListenerOptions, links: Set<Accepted>, socket: Socket): void {
  const link: Accepted = {
    socket,
    calls: new Map(),
    unserved: new Map(),
    readAhead: createReadAhead(),
    isLocal: false,
    toldLoad: 0,
  };
  links.add(link);
  const read = createMessageReader((message) => receive(options, link, message));
  socket.on('data', (chunk: Buffer) => {
    try {
      read(chunk);
    } catch (caught) {
      options.log.warn('link-unreadable', { message: formatCaught(caught) });
      socket.destroy();
    }
  });
  socket.on('error', (error) => {
    options.log.info('link-broken', { message: formatCaught(error) });
  });
  socket.on('close', () => {
    links.delete(link);
    link.unserved.clear();
    link.calls.forEach((attempt) => attempt.cancel());
  });
}

function receive(options: LinkListenerOptions, held: Accepted, message: Message): void {
  const link = held;
  switch (message[0]) {
    case MessageKind.Hello: {
      const { member } = parseHello(message);
      link.isLocal = member.dataCentre === options.self.dataCentre;
      write(link, toHelloMessage(options.self, options.getStatus()));
      write(link, toReportMessage(options.gate.getReport()));
      options.receiveMember(member);
      break;
    }
    case MessageKind.Call:
      holdCall(options, link, message);
      break;
    case MessageKind.Cancel:
      cancelCall(link, message[1] as number);
      break;
    case MessageKind.Ping:
      write(link, [MessageKind.Pong]);
      break;
    case MessageKind.WantConfiguration: {
      const update = options.buildUpdate(message[1] as number);
      if (update !== undefined) write(link, toUpdateMessage(update));
      break;
    }
    default:
  }
}

/**
 * Holds a call until all that has arrived is read. After a delay of the link or of this daemon, calls
 * arrive together with their cancellations, and must not reach the upstream before those are read.
 */
function holdCall(options: LinkListenerOptions, link: Accepted, message: Message): void {
  if (link.unserved.size === 0) link.readAhead.schedule(() => serveCalls(options, link));
  link.unserved.set(message[1] as number, parseCall(message));
}

function serveCalls(options: LinkListenerOptions, link: Accepted): void {
  const calls = [...link.unserved];
  link.unserved.clear();
  calls.forEach(([id, call]) => serveCall(options, link, id, call));
}

function cancelCall(link: Accepted, id: number): void {
  if (!link.unserved.delete(id)) link.calls.get(id)?.cancel();
}

function serveCall(
  { gate }: LinkListenerOptions,
  held: Accepted,
  id: number,
  call: GateCall,
): void {
  const link = held;
  const attempt = gate.serve(call);
  link.calls.set(id, attempt);
  void attempt.end.then((end) => {
    link.calls.delete(id);
    const report = gate.getReport();
    link.toldLoad = report.load;
    write(link, toEndMessage(id, end, report));
  });
}

function write({ socket }: Accepted, message: Message): void {
  if (!socket.destroyed) socket.write(encodeMessage(message));
}

function startListening(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

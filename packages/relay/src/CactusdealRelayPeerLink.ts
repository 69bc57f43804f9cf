import { connect, type Socket } from 'node:net';
import {
  type ByteBudget,
  type Clock,
  formatError,
  type Log,
  parseAddress,
  waitMs,
} from '@cactusdeal/shared';
import {
  createMessageReader,
  encodeParts,
  type Message,
  MessageKind,
  type MessageReader,
} from './CactusdealRelayFrames.js';
import { createLinkWriter, type LinkWriter } from './CactusdealRelayLinkWriter.js';
import type { Member } from './CactusdealRelayTypes.js';

/** The connection to another daemon, opened again whenever it ends. */
export interface PeerLink {
  isOpen(): boolean;
  /** Writes a message; does nothing without a connection. */
  write(message: Message): void;
  /** Writes an encoded message; does nothing without a connection. */
  writeFrame(frame: Buffer): void;
  /** Writes `body` in pieces between other messages, then what `buildMessage` builds at that moment. */
  writeLarge(id: number, body: Uint8Array, buildMessage: () => Message): void;
  /** Does the same as far as `grant` lets it. */
  writeGranted(id: number, body: Uint8Array, buildMessage: () => Message): void;
  /** Lets `bytes` more of the body of the call with this id be written. */
  grant(id: number, bytes: number): void;
  /** Discards what is left of the large body of the call with this id. */
  discard(id: number): void;
  /** Ends the connection; `reason` goes to the log. */
  fail(reason: string): void;
  /** Time since the last data, in milliseconds. */
  getSilentMs(): number;
  /** Starts the time of silence anew. */
  resetSilence(): void;
  /** Time without a connection, in milliseconds; 0 while there is one. */
  getDisconnectedMs(): number;
  /** Records that the other daemon is the right one, so that reconnecting need not wait long. */
  accept(): void;
  close(): void;
}

export interface PeerLinkOptions {
  /** The other daemon. */
  readonly member: Member;
  readonly clock: Clock;
  /** Room for unfinished messages, shared with all other links. */
  readonly linkBytes: ByteBudget;
  readonly log: Log;
  /** Called when the connection is open. */
  readonly open: () => void;
  /** Called with each message; what it throws ends the connection. */
  readonly receive: (message: Message) => void;
  /** Called after the connection has ended. */
  readonly end: () => void;
}

/**
 * Buffer that all links read into. The runtime would allocate one of this size for each read; what is read is
 * copied before the next one.
 */
const READ_BUFFER = Buffer.allocUnsafe(64 * 1024);
const CONNECT_TIMEOUT_MS = 1_000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_500;

/** Creates a link, which connects and reconnects with exponential backoff until it is closed. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  return new ReconnectingLink(options);
}

class ReconnectingLink implements PeerLink {
  private readonly stop = new AbortController();

  private socket: Socket | undefined;

  private writer: LinkWriter | undefined;

  private lastReceivedAtMs = 0;

  private lastConnectedAtMs: number;

  private backoffMs = MIN_BACKOFF_MS;

  public constructor(private readonly options: PeerLinkOptions) {
    this.lastConnectedAtMs = options.clock();
    void this.run();
  }

  private async run(): Promise<void> {
    const { signal } = this.stop;
    while (!signal.aborted) {
      const reason = await this.connect();
      if (signal.aborted) return;
      this.options.log.info('link-lost', { peer: this.options.member.id, reason });
      await waitMs(this.backoffMs * (0.5 + Math.random()), signal);
      this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    }
  }

  /** Connects and reads messages; resolves to the reason when the connection ends. */
  private connect(): Promise<string> {
    const { host, port } = parseAddress(this.options.member.address);
    const reader = createMessageReader(this.options.receive, this.options.linkBytes);
    const socket: Socket = connect({
      host,
      port,
      noDelay: true,
      onread: { buffer: READ_BUFFER, callback: (size) => this.readChunk(socket, reader, size) },
    });
    return new Promise((resolve) => {
      let reason = 'closed by the peer';
      const timeout = setTimeout(
        () => socket.destroy(new Error(`connecting took longer than ${CONNECT_TIMEOUT_MS} ms`)),
        CONNECT_TIMEOUT_MS,
      );
      const close = (): unknown => socket.destroy();
      this.stop.signal.addEventListener('abort', close, { once: true });
      socket.on('connect', () => {
        clearTimeout(timeout);
        this.startConnection(socket);
      });
      socket.on('error', (error) => {
        reason = formatError(error);
      });
      socket.on('close', () => {
        clearTimeout(timeout);
        this.stop.signal.removeEventListener('abort', close);
        reader.close();
        this.endConnection();
        resolve(reason);
      });
    });
  }

  private startConnection(socket: Socket): void {
    this.socket = socket;
    this.writer = createLinkWriter(socket, { pieceKind: MessageKind.CallPiece });
    this.resetSilence();
    this.options.log.info('link-opened', { peer: this.options.member.id });
    this.options.open();
  }

  /** Reads what has arrived in the buffer; true to go on reading. */
  private readChunk(socket: Socket, reader: MessageReader, size: number): boolean {
    this.resetSilence();
    try {
      reader.read(Buffer.from(READ_BUFFER.subarray(0, size)));
    } catch (caught) {
      socket.destroy(new Error(formatError(caught)));
    }
    return true;
  }

  private endConnection(): void {
    if (this.socket !== undefined) this.lastConnectedAtMs = this.options.clock();
    this.socket = undefined;
    this.writer = undefined;
    this.options.end();
  }

  public isOpen(): boolean {
    return this.socket !== undefined;
  }

  public write(message: Message): void {
    encodeParts(message).forEach((part) => this.socket?.write(part));
  }

  public writeFrame(frame: Buffer): void {
    this.socket?.write(frame);
  }

  public writeLarge(id: number, body: Uint8Array, buildMessage: () => Message): void {
    this.writer?.writeLarge(id, body, buildMessage);
  }

  public writeGranted(id: number, body: Uint8Array, buildMessage: () => Message): void {
    this.writer?.writeGranted(id, body, buildMessage);
  }

  public grant(id: number, bytes: number): void {
    this.writer?.grant(id, bytes);
  }

  public discard(id: number): void {
    this.writer?.discard(id);
  }

  public fail(reason: string): void {
    this.socket?.destroy(new Error(reason));
  }

  public getSilentMs(): number {
    return this.options.clock() - this.lastReceivedAtMs;
  }

  public resetSilence(): void {
    this.lastReceivedAtMs = this.options.clock();
  }

  public getDisconnectedMs(): number {
    return this.isOpen() ? 0 : this.options.clock() - this.lastConnectedAtMs;
  }

  public accept(): void {
    this.backoffMs = MIN_BACKOFF_MS;
  }

  public close(): void {
    this.stop.abort();
  }
}

import { type Log, pickRandom, waitMs } from '@cactusdeal/shared';
import { createMeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import {
  type Handshake,
  type IdentifiedConnection,
  refuseConnection,
  toMeshFailure,
} from './CactusdealMeshHandshake.js';
import {
  createLinkRouter,
  type LinkMessageOptions,
  type LinkSession,
  sendLinkDigest,
} from './CactusdealMeshLinkSession.js';
import { toLogFields } from './CactusdealMeshOverlay.js';

/** Links: connections between reader candidates of different data centres. */
export interface Links {
  /** Accepts or refuses a link opened from another data centre. */
  admit(identified: IdentifiedConnection): void;
  /**
   * Sends a digest with the new version over all links, after a short delay that merges several
   * calls.
   */
  announceVersion(): void;
  /** Opens missing links and sends digests until the signal aborts. */
  run(): Promise<void>;
  /** Number of open links. */
  getCount(): number;
  close(): void;
}

/** Dependencies and settings of the links. */
export interface LinkOptions extends LinkMessageOptions {
  readonly dataCentre: string;
  readonly handshake: Handshake;
  readonly isCandidate: () => boolean;
  readonly remoteContacts: Readonly<Record<string, readonly string[]>>;
  readonly findRemoteReaders: (dataCentre: string) => Promise<readonly string[]>;
  readonly readersPerDataCentre: number;
  readonly heartbeatMs: number;
  readonly log: Log;
}

/** Digest intervals without a message after which a link is closed. */
const SILENT_DIGESTS = 3;
/** Minimum interval between two messages with changed services. */
const SUMMARY_INTERVAL_MS = 1000;
/** Delay of a version announcement; versions that follow within it share one announcement. */
const ANNOUNCE_INTERVAL_MS = 100;
/** Addresses picked from each source; one pass over a list dials at most twice as many. */
const ADDRESSES_PER_ROUND = 4;
/** Upper bound of the backoff range between attempts, in digest intervals. */
const MAX_BACKOFF_DIGESTS = 8;

/** Creates the links of one daemon; none is open yet. */
export function createLinks(options: LinkOptions): Links {
  const { handshake, view, source, random, signal, log, clock } = options;
  const sessions = new Set<LinkSession>();
  const connecting = new Set<string>();
  const router = createLinkRouter(options);
  let summariesAtMs = -Infinity;
  let isAnnouncing = false;

  function listSessions(dataCentre: string): LinkSession[] {
    return [...sessions].filter((session) => session.dataCentre === dataCentre);
  }

  function addSession({ connection, hello }: IdentifiedConnection): void {
    listSessions(hello.dataCentre)
      .filter((session) => session.id === hello.id)
      .forEach((session) => session.connection.destroy());
    const { id, dataCentre } = hello;
    const { send } = connection;
    const session: LinkSession = {
      id,
      dataCentre,
      connection,
      send,
      lastReceivedMs: clock(),
      readers: [],
      sentReaders: [],
      mismatchedDigests: 0,
    };
    sessions.add(session);
    view.setLink(dataCentre, true, session.readers);
    void runSession(session);
    sendLinkDigest(options, session);
    send(source.createFull());
    log.info('mesh-link-up', { peer: id, remoteDataCentre: dataCentre });
  }

  async function runSession(session: LinkSession): Promise<void> {
    const { connection, dataCentre } = session;
    try {
      for (;;) {
        const message = await connection.receive();
        if (message === undefined || message.type === 'refusal') break;
        Object.assign(session, { lastReceivedMs: clock() });
        router.dispatch(session, message);
      }
    } catch (caught) {
      const failure = toMeshFailure(caught);
      log.warn('mesh-link-failed', { peer: session.id, ...toLogFields(failure) });
      refuseConnection(connection, failure);
    }
    connection.close();
    sessions.delete(session);
    if (!signal.aborted && listSessions(dataCentre).length === 0) {
      view.setLink(dataCentre, false, session.readers);
    }
    log.info('mesh-link-down', { peer: session.id, remoteDataCentre: dataCentre });
  }

  /**
   * Dials addresses, and those that refusals list, until a link is open; returns whether one is.
   */
  async function tryAddresses(dataCentre: string, addresses: readonly string[]): Promise<boolean> {
    const queue = [...addresses];
    const tried = new Set<string>();
    while (queue.length > 0 && tried.size < 2 * ADDRESSES_PER_ROUND && !signal.aborted) {
      const address = queue.shift() as string;
      if (tried.has(address)) continue;
      tried.add(address);
      try {
        addSession(await handshake.dial(address, 'link', dataCentre));
        return true;
      } catch (caught) {
        queue.unshift(...(toMeshFailure(caught).contacts ?? []));
      }
    }
    return false;
  }

  async function connect(dataCentre: string): Promise<boolean> {
    const remembered = pickRandom(view.listReaders(dataCentre), ADDRESSES_PER_ROUND, random);
    const contacts = options.remoteContacts[dataCentre] ?? [];
    const known = [...remembered, ...pickRandom(contacts, ADDRESSES_PER_ROUND, random)];
    if (await tryAddresses(dataCentre, known)) return true;
    const found = await options.findRemoteReaders(dataCentre).catch(() => []);
    return tryAddresses(dataCentre, found);
  }

  /**
   * Opens a link with retries. The data centre whose name sorts first dials at once; the other one
   * waits, and dials only if no link was opened to it meanwhile.
   */
  async function connectUntilLinked(dataCentre: string): Promise<void> {
    if (options.dataCentre > dataCentre) await waitMs(2 * options.digestMs, signal);
    let backoffDigests = 0.5;
    while (!signal.aborted && options.isCandidate() && listSessions(dataCentre).length === 0) {
      if (await connect(dataCentre)) return;
      await waitMs(random() * backoffDigests * options.digestMs, signal);
      backoffDigests = Math.min(MAX_BACKOFF_DIGESTS, backoffDigests * 2);
    }
  }

  function startConnecting(dataCentre: string): void {
    if (connecting.has(dataCentre) || listSessions(dataCentre).length > 0) return;
    connecting.add(dataCentre);
    void connectUntilLinked(dataCentre).finally(() => connecting.delete(dataCentre));
  }

  function sendSummaries(): void {
    if (sessions.size === 0 || clock() - summariesAtMs < SUMMARY_INTERVAL_MS) return;
    const changes = source.takeDelta();
    if (changes === undefined) return;
    summariesAtMs = clock();
    sessions.forEach((session) => session.send(changes));
  }

  function sendDigests(): void {
    sessions.forEach((session) => sendLinkDigest(options, session));
  }

  function closeSilentSessions(): void {
    const beforeMs = clock() - SILENT_DIGESTS * options.digestMs;
    sessions.forEach((session) => {
      if (session.lastReceivedMs < beforeMs) session.connection.destroy();
    });
  }

  async function runSummaries(): Promise<void> {
    while (!signal.aborted) {
      await waitMs(options.heartbeatMs / 4, signal);
      sendSummaries();
    }
  }

  function findRefusalReason({ hello }: IdentifiedConnection): string | undefined {
    if (!options.isCandidate()) return 'this daemon is not a reader candidate';
    const limit = 2 * options.readersPerDataCentre;
    const isNew = listSessions(hello.dataCentre).every((session) => session.id !== hello.id);
    return isNew && listSessions(hello.dataCentre).length >= limit
      ? `limit of ${limit} links with ${hello.dataCentre} reached`
      : undefined;
  }

  return {
    admit: (identified) => {
      const refusal = findRefusalReason(identified);
      if (refusal !== undefined) {
        const readers = options.isCandidate() ? [] : options.listReaderAddresses();
        refuseConnection(
          identified.connection,
          createMeshFailure(MeshFailureKind.NotReader, refusal, readers),
        );
        return;
      }
      identified.connection.send(handshake.createHello('link'));
      addSession(identified);
    },
    announceVersion: () => {
      if (isAnnouncing || sessions.size === 0) return;
      isAnnouncing = true;
      void waitMs(ANNOUNCE_INTERVAL_MS, signal).then(() => {
        isAnnouncing = false;
        sendDigests();
      });
    },
    run: async () => {
      void runSummaries();
      while (!signal.aborted) {
        const dataCentres = new Set([
          ...Object.keys(options.remoteContacts),
          ...view.listDataCentres(),
        ]);
        if (options.isCandidate()) dataCentres.forEach(startConnecting);
        else sessions.forEach((session) => session.connection.close());
        closeSilentSessions();
        sendDigests();
        await waitMs(options.digestMs, signal);
      }
    },
    getCount: () => sessions.size,
    close: () => sessions.forEach((session) => session.connection.close()),
  };
}

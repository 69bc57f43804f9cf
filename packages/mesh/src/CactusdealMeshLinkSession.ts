import { type Clock, type Random, waitMs } from '@cactusdeal/shared';
import type { MeshConnection } from './CactusdealMeshConnection.js';
import type { Exchange } from './CactusdealMeshExchange.js';
import type { RemoteEndpoint } from './CactusdealMeshPeer.js';
import type { RemoteView } from './CactusdealMeshRemoteView.js';
import { createRouter, type Router } from './CactusdealMeshRouter.js';
import type { SummarySource } from './CactusdealMeshSummarySource.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/** One open link to a reader candidate of another data centre. */
export interface LinkSession extends RemoteEndpoint {
  readonly dataCentre: string;
  readonly connection: MeshConnection;
  /** By the monotonic clock. */
  lastReceivedMs: number;
  /** Readers of the other data centre, as the peer last stated them. */
  readers: readonly string[];
  /** Readers of this data centre, as the peer was last told. */
  statedReaders: readonly string[];
  /** Consecutive digests in which the peer held other services of this data centre than there are. */
  mismatchedDigests: number;
}

/** What the messages of links need from their surroundings. */
export interface LinkMessageOptions {
  readonly state: MeshState;
  readonly exchange: Exchange;
  readonly view: RemoteView;
  readonly source: SummarySource;
  readonly listReaderAddresses: () => readonly string[];
  readonly digestMs: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly signal: AbortSignal;
}

/** Digests with other services than stated, after which all are stated again. */
const MAX_MISMATCHED_DIGESTS = 2;
/** Part of the digest time that the platform has to deliver a version before a peer is asked. */
const PULL_GRACE_RATIO = 0.25;
/** Time in which only one peer is asked for missing versions. */
const PULL_INTERVAL_RATIO = 0.5;

/** States to a reader candidate of another data centre what is held here. */
export function sendLinkDigest(options: LinkMessageOptions, session: LinkSession): void {
  const { state, view } = options;
  const { stampMs, hash } = view.getDataCentreDigest(session.dataCentre);
  const readers = options.listReaderAddresses();
  const isSame = readers.join(' ') === session.statedReaders.join(' ');
  Object.assign(session, { statedReaders: readers });
  session.send({
    type: 'link-digest',
    version: state.getVersion(),
    headVersion: state.getHeadVersion(),
    summaryStampMs: stampMs,
    summaryHash: hash,
    ...(isSame ? {} : { readers: [...readers] }),
  });
}

/** Creates the router of the messages that links carry. */
export function createLinkRouter(options: LinkMessageOptions): Router<LinkSession> {
  const { state, exchange, view, source } = options;
  const router = createRouter<LinkSession>();
  let pulledAtMs = -Infinity;

  /** Asks for what the platform should have delivered meanwhile, one peer at a time. */
  async function fetchMissing(session: LinkSession, version: number): Promise<void> {
    const graceMs = options.digestMs * PULL_GRACE_RATIO * (1 + options.random());
    await waitMs(graceMs, options.signal);
    const isRecent = options.clock() - pulledAtMs < options.digestMs * PULL_INTERVAL_RATIO;
    if (state.getHeadVersion() >= version || isRecent) return;
    pulledAtMs = options.clock();
    session.send({ type: 'pull', headVersion: state.getHeadVersion() });
  }

  function checkSummaries(session: LinkSession, hash: string, stampMs: number): void {
    source.raiseStamp(stampMs);
    const isMatch = hash === source.computeHash();
    const mismatchedDigests = isMatch ? 0 : session.mismatchedDigests + 1;
    Object.assign(session, { mismatchedDigests });
    if (mismatchedDigests < MAX_MISMATCHED_DIGESTS) return;
    Object.assign(session, { mismatchedDigests: 0 });
    session.send(source.createFull());
  }

  function updateReaders(session: LinkSession, readers: readonly string[]): void {
    if (readers.join(' ') === session.readers.join(' ')) return;
    Object.assign(session, { readers });
    view.setLink(session.dataCentre, true, readers);
  }

  exchange.register(router);
  router.handle('pull', (session, { headVersion }) => exchange.sendMissing(session, headVersion));
  router.handle('summaries', ({ dataCentre }, message) => {
    const own = message.summaries.filter((summary) => summary.dataCentre === dataCentre);
    view.mergeSummaries(dataCentre, message.stampMs, own, message.isFull);
  });
  router.handle('link-digest', (session, message) => {
    if (message.readers !== undefined) updateReaders(session, message.readers);
    checkSummaries(session, message.summaryHash, message.summaryStampMs);
    if (message.version > state.getHeadVersion()) void fetchMissing(session, message.version);
  });
  return router;
}

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
  /** When the last message arrived, by the monotonic clock. */
  lastReceivedMs: number;
  /** Mesh addresses of the other data centre's readers, as last received from the peer. */
  readers: readonly string[];
  /** Mesh addresses of this data centre's readers, as last sent to the peer. */
  sentReaders: readonly string[];
  /** Consecutive digests whose hash of this data centre's services differed from the actual one. */
  mismatchedDigests: number;
}

/** Dependencies and settings of the handlers of link messages. */
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

/** Consecutive digests with a wrong hash of services after which a full summary is sent. */
const MAX_MISMATCHED_DIGESTS = 2;
/**
 * Share of the digest interval to wait before a missing version is requested from a peer, because
 * the platform usually delivers it in that time.
 */
const PULL_DELAY_RATIO = 0.25;
/** Share of the digest interval in which at most one request for missing versions is sent. */
const PULL_INTERVAL_RATIO = 0.5;

/**
 * Sends a digest of the version and of the services of the peer's data centre held here, with this
 * data centre's readers if they changed.
 */
export function sendLinkDigest(options: LinkMessageOptions, session: LinkSession): void {
  const { state, view } = options;
  const { stampMs, hash } = view.getDataCentreDigest(session.dataCentre);
  const readers = options.listReaderAddresses();
  const isUnchanged = readers.join(' ') === session.sentReaders.join(' ');
  Object.assign(session, { sentReaders: readers });
  session.send({
    type: 'link-digest',
    version: state.getVersion(),
    headVersion: state.getHeadVersion(),
    summaryStampMs: stampMs,
    summaryHash: hash,
    ...(isUnchanged ? {} : { readers: [...readers] }),
  });
}

/** Creates the router for the messages of links. */
export function createLinkRouter(options: LinkMessageOptions): Router<LinkSession> {
  const { state, exchange, view, source } = options;
  const router = createRouter<LinkSession>();
  let pulledAtMs = -Infinity;

  /**
   * Requests missing versions, unless they arrived meanwhile or were just requested from a peer.
   */
  async function fetchMissing(session: LinkSession, version: number): Promise<void> {
    const delayMs = options.digestMs * PULL_DELAY_RATIO * (1 + options.random());
    await waitMs(delayMs, options.signal);
    const isRecent = options.clock() - pulledAtMs < options.digestMs * PULL_INTERVAL_RATIO;
    if (state.getHeadVersion() >= version || isRecent) return;
    pulledAtMs = options.clock();
    session.send({ type: 'pull', headVersion: state.getHeadVersion() });
  }

  /** Sends a full summary to a peer that repeatedly reported a wrong hash. */
  function checkSummaries(session: LinkSession, hash: string, stampMs: number): void {
    source.advanceStamp(stampMs);
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

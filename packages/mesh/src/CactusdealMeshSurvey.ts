import type { SurveyAnswerMessage, SurveyMessage } from '@cactusdeal/schema';
import { type Clock, waitMs } from '@cactusdeal/shared';
import type { Peer } from './CactusdealMeshPeer.js';
import type { Router } from './CactusdealMeshRouter.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/** Answers of the daemons in one subtree of a survey, added up. */
export type SurveyTotals = Omit<SurveyAnswerMessage, 'type' | 'id'>;

/**
 * Surveys of all daemons in the overlay with the echo algorithm (Chang 1982): each daemon forwards
 * the survey to its other neighbours, and returns the total of its own answer and theirs.
 */
export interface Surveys {
  /** Runs a survey of the daemons' versions; returns the totals that arrived before the timeout. */
  run(id: string, version: number, timeoutMs: number): Promise<SurveyTotals>;
  /** Stops waiting for the answers of a lost peer. */
  removePeer(peer: Peer): void;
}

/** Dependencies of the surveys. */
export interface SurveyOptions {
  readonly memberId: string;
  readonly state: MeshState;
  readonly listPeers: () => Iterable<Peer>;
  readonly router: Router<Peer>;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** Most stragglers, and most rejections, in one answer. */
const MAX_LISTED = 16;
/**
 * Share of its own deadline that a daemon gives its neighbours, so that it can still answer in
 * time.
 */
const CHILD_DEADLINE_RATIO = 0.85;
/** How long the id of a survey is kept, so that a copy over another path is declined. */
const RETENTION_MS = 60_000;

interface SurveySession {
  /** Peers that have not answered or declined yet. */
  readonly waiting: Set<Peer>;
  totals: SurveyTotals;
  /** Ends the wait for answers. */
  readonly finish: AbortController;
  readonly startedAtMs: number;
}

/** Creates the surveys of one daemon. */
export function createSurveys(options: SurveyOptions): Surveys {
  const sessions = new Map<string, SurveySession>();

  async function collectTotals(message: SurveyMessage, source?: Peer): Promise<SurveyTotals> {
    const peers = [...options.listPeers()].filter((peer) => peer !== source);
    const session: SurveySession = {
      waiting: new Set(peers),
      totals: createOwnTotals(options, message.version),
      finish: new AbortController(),
      startedAtMs: options.clock(),
    };
    sessions.set(message.id, session);
    const deadlineMs = Math.floor(message.deadlineMs * CHILD_DEADLINE_RATIO);
    peers.forEach((peer) => peer.send({ ...message, deadlineMs }));
    if (peers.length > 0) await waitMs(message.deadlineMs, session.finish.signal);
    session.waiting.clear();
    return session.totals;
  }

  function removeWaiting(session: SurveySession, peer: Peer): void {
    if (!session.waiting.delete(peer)) return;
    if (session.waiting.size === 0) session.finish.abort();
  }

  function discardExpired(): void {
    const beforeMs = options.clock() - RETENTION_MS;
    sessions.forEach((session, id) => {
      if (session.startedAtMs < beforeMs) sessions.delete(id);
    });
  }

  function answerSurvey(peer: Peer, message: SurveyMessage): void {
    discardExpired();
    const { id } = message;
    if (sessions.has(id)) {
      peer.send({ type: 'survey-decline', id });
      return;
    }
    void collectTotals(message, peer).then((totals) =>
      peer.send({ type: 'survey-answer', id, ...totals }),
    );
  }

  function receiveAnswer(peer: Peer, message: SurveyAnswerMessage): void {
    const session = sessions.get(message.id);
    if (session === undefined || !session.waiting.has(peer)) return;
    session.totals = addTotals(session.totals, message);
    removeWaiting(session, peer);
  }

  options.router.handle('survey', answerSurvey);
  options.router.handle('survey-answer', receiveAnswer);
  options.router.handle('survey-decline', (peer, { id }) => {
    const session = sessions.get(id);
    if (session !== undefined) removeWaiting(session, peer);
  });

  return {
    run: (id, version, timeoutMs) => {
      discardExpired();
      return collectTotals({ type: 'survey', id, version, deadlineMs: timeoutMs });
    },
    removePeer: (peer) => sessions.forEach((session) => removeWaiting(session, peer)),
  };
}

function createOwnTotals({ memberId, state }: SurveyOptions, version: number): SurveyTotals {
  const own = state.getVersion();
  return {
    answered: 1,
    lowestVersion: own,
    highestVersion: own,
    stragglers: own < version ? [memberId] : [],
    rejections: state
      .getRejections()
      .slice(-MAX_LISTED)
      .map((rejection) => ({ ...rejection })),
  };
}

/**
 * Adds the totals of two disjoint sets of daemons; stragglers and rejections past the limit are
 * dropped.
 */
export function addTotals(first: SurveyTotals, second: SurveyTotals): SurveyTotals {
  return {
    answered: first.answered + second.answered,
    lowestVersion: Math.min(first.lowestVersion, second.lowestVersion),
    highestVersion: Math.max(first.highestVersion, second.highestVersion),
    stragglers: [...first.stragglers, ...second.stragglers].slice(0, MAX_LISTED),
    rejections: [...first.rejections, ...second.rejections].slice(0, MAX_LISTED),
  };
}

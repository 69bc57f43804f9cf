import type { SurveyAnswerMessage, SurveyMessage } from '@cactusdeal/schema';
import { type Clock, waitMs } from '@cactusdeal/shared';
import type { Peer } from './CactusdealMeshPeer.js';
import type { Router } from './CactusdealMeshRouter.js';
import type { MeshState } from './CactusdealMeshTypes.js';

/** What the daemons below one point of the overlay hold. */
export type SurveyTotals = Omit<SurveyAnswerMessage, 'type' | 'id'>;

/** Asks every daemon of the overlay, adding up the answers on the way back (echo, Chang 1982). */
export interface Surveys {
  run(id: string, version: number, timeoutMs: number): Promise<SurveyTotals>;
  /** Counts a lost peer as having answered nothing. */
  removePeer(peer: Peer): void;
}

/** What surveys need from their surroundings. */
export interface SurveyOptions {
  readonly memberId: string;
  readonly state: MeshState;
  readonly listPeers: () => Iterable<Peer>;
  readonly router: Router<Peer>;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** Most names and rejections in one answer. */
const MAX_LISTED = 16;
/** Part of its own time that a daemon gives to those that it asks. */
const CHILD_DEADLINE_RATIO = 0.85;
/** How long the id of a survey is recognised. */
const RETENTION_MS = 60_000;

interface SurveySession {
  readonly waiting: Set<Peer>;
  totals: SurveyTotals;
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

/** Adds the totals of two disjoint sets of daemons; names past the bound are dropped. */
export function addTotals(first: SurveyTotals, second: SurveyTotals): SurveyTotals {
  return {
    answered: first.answered + second.answered,
    lowestVersion: Math.min(first.lowestVersion, second.lowestVersion),
    highestVersion: Math.max(first.highestVersion, second.highestVersion),
    stragglers: [...first.stragglers, ...second.stragglers].slice(0, MAX_LISTED),
    rejections: [...first.rejections, ...second.rejections].slice(0, MAX_LISTED),
  };
}

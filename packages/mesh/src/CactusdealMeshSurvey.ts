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
  releasePeer(peer: Peer): void;
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
const MAX_NAMES = 16;
/** Part of its own time that a daemon gives to those that it asks. */
const HOP_TIME_RATIO = 0.85;
/** How long the id of a survey is recognised. */
const RETENTION_MS = 60_000;

interface Session {
  readonly waiting: Set<Peer>;
  totals: SurveyTotals;
  readonly finish: AbortController;
  readonly startedAtMs: number;
}

/** Creates the surveys of one daemon. */
export function createSurveys(options: SurveyOptions): Surveys {
  const sessions = new Map<string, Session>();

  async function collect(message: SurveyMessage, source?: Peer): Promise<SurveyTotals> {
    const peers = [...options.listPeers()].filter((peer) => peer !== source);
    const session: Session = {
      waiting: new Set(peers),
      totals: createOwnTotals(options, message.version),
      finish: new AbortController(),
      startedAtMs: options.clock(),
    };
    sessions.set(message.id, session);
    const deadlineMs = Math.floor(message.deadlineMs * HOP_TIME_RATIO);
    peers.forEach((peer) => peer.send({ ...message, deadlineMs }));
    if (peers.length > 0) await waitMs(message.deadlineMs, session.finish.signal);
    session.waiting.clear();
    return session.totals;
  }

  function settle(session: Session, peer: Peer): void {
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
    void collect(message, peer).then((totals) =>
      peer.send({ type: 'survey-answer', id, ...totals }),
    );
  }

  function receiveAnswer(peer: Peer, message: SurveyAnswerMessage): void {
    const session = sessions.get(message.id);
    if (session === undefined || !session.waiting.has(peer)) return;
    session.totals = addTotals(session.totals, message);
    settle(session, peer);
  }

  options.router.handle('survey', answerSurvey);
  options.router.handle('survey-answer', receiveAnswer);
  options.router.handle('survey-decline', (peer, { id }) => {
    const session = sessions.get(id);
    if (session !== undefined) settle(session, peer);
  });

  return {
    run: (id, version, timeoutMs) => {
      discardExpired();
      return collect({ type: 'survey', id, version, deadlineMs: timeoutMs });
    },
    releasePeer: (peer) => sessions.forEach((session) => settle(session, peer)),
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
      .slice(-MAX_NAMES)
      .map((rejection) => ({ ...rejection })),
  };
}

/** Adds the totals of two disjoint sets of daemons; names past the bound are dropped. */
export function addTotals(first: SurveyTotals, second: SurveyTotals): SurveyTotals {
  return {
    answered: first.answered + second.answered,
    lowestVersion: Math.min(first.lowestVersion, second.lowestVersion),
    highestVersion: Math.max(first.highestVersion, second.highestVersion),
    stragglers: [...first.stragglers, ...second.stragglers].slice(0, MAX_NAMES),
    rejections: [...first.rejections, ...second.rejections].slice(0, MAX_NAMES),
  };
}

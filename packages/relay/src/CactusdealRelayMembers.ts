import { type ByteBudget, type Clock, type Log, scheduleTicks, TICK_MS } from '@cactusdeal/shared';
import type { GateView } from './CactusdealRelayBalancer.js';
import { chooseLinks, LinkState } from './CactusdealRelayLinkPlan.js';
import { createPeer, type Peer, SILENCE_CHECK_MS } from './CactusdealRelayPeer.js';
import { MAX_REMOVED_MEMBERS } from './CactusdealRelayPorts.js';
import type { ReceiveQuota } from './CactusdealRelayQuotaExchange.js';
import type { RolloutExchange } from './CactusdealRelayRollouts.js';
import type {
  CrashNoticeExchange,
  DepartureExchange,
  LimitExchange,
  Member,
} from './CactusdealRelayTypes.js';
import type { VersionUpdate } from './CactusdealRelayVersionHistory.js';
import type { Status } from './CactusdealRelayWire.js';

/** The other daemons that this one knows, with outgoing links to some of them. */
export interface Members {
  /** Adds a daemon, or replaces it if its address has changed. */
  add(member: Member): void;
  /**
   * Applies the complete list of registered daemons; removes those that are neither listed nor
   * connected.
   */
  replace(listed: readonly Member[]): void;
  /**
   * Adds the daemons of a list that may lack some or name old addresses, as that of a platform restored
   * from an old copy; a daemon with an open link is left as it is.
   */
  merge(listed: readonly Member[]): void;
  /** Finds a daemon with a link. */
  find(id: string): Peer | undefined;
  /** Lists the daemons with a link, open or being opened. */
  list(): readonly Peer[];
  /** Lists the gates of the service in the own data centre (local) or in all others. */
  listGates(query: GateQuery, isLocal: boolean): readonly GateView[];
  countConnected(): number;
  /** Counts the known daemons, linked or not. */
  countKnown(): number;
  /**
   * Lists daemons of the own data centre that have had no link for `durationMs`, if this daemon has
   * the lowest id of those that can be reached; at most `MAX_REMOVED_MEMBERS`.
   */
  listLost(durationMs: number): readonly string[];
  close(): void;
}

/** The service of the gates to list, and the call for which they are compared. */
export interface GateQuery {
  readonly service: string;
  /** Kind of the call. */
  readonly kind: string;
  /**
   * Upper bound of the service-time estimate at a gate without samples of the kind, in
   * milliseconds.
   */
  readonly estimateCapMs: number;
  /** What the call has in common with those that a busy gate refuses alike. */
  readonly refusalKey: string;
  /** Size of its body, in bytes. */
  readonly bodyBytes: number;
}

export interface MembersOptions extends DepartureExchange, LimitExchange, CrashNoticeExchange {
  readonly self: Member;
  readonly getStatus: () => Status;
  readonly receiveStatus: (peer: Peer, status: Status) => void;
  readonly receiveUpdate: (peer: Peer, update: VersionUpdate) => void;
  readonly receiveQuota?: ReceiveQuota | undefined;
  /** Whether organisations have quotas, which takes links of its own. */
  readonly hasQuotas?: (() => boolean) | undefined;
  readonly rollouts?: RolloutExchange;
  /** Called by the timers that check the links, with the time in milliseconds that they explain. */
  readonly checkPause: (intervalMs: number) => void;
  /** Called after a link has ended. */
  readonly observeEnd?: () => void;
  readonly clock: Clock;
  /** Room for unfinished messages and answers of all links. */
  readonly linkBytes: ByteBudget;
  readonly log: Log;
}

/** A daemon that this one knows. */
interface KnownMember {
  readonly member: Member;
  readonly addedAtMs: number;
}

/** Greatest age of a list: what was learned since then goes before it. */
const MAX_LIST_AGE_MS = 15_000;
/** Ticks between checks of which daemons to keep links to. */
const LINK_CHECK_TICKS = 2;

export function createMembers(options: MembersOptions): Members {
  const known = new Map<string, KnownMember>();
  const peers = new Map<string, Peer>();
  // While calls wait, one timer checks all links for silence; otherwise the common ticks do.
  let silenceTimer: NodeJS.Timeout | undefined;
  const stopTicks = [
    scheduleTicks(1, checkIdlePeers),
    scheduleTicks(LINK_CHECK_TICKS, updateLinks),
  ];
  return {
    add: (member) => {
      if (addKnown(member)) updateLinks();
    },
    replace,
    merge,
    find: (id) => peers.get(id),
    list: () => [...peers.values()],
    listGates: ({ service, kind, estimateCapMs, refusalKey, bodyBytes }, isLocal) => {
      const views: GateView[] = [];
      peers.forEach((peer) => {
        if (peer.getService() !== service || isLocalPeer(peer) !== isLocal) return;
        const view = peer.getView(kind, estimateCapMs, refusalKey, bodyBytes);
        if (view !== undefined) views.push(view);
      });
      return views;
    },
    countConnected: () => [...peers.values()].filter((peer) => peer.isConnected()).length,
    countKnown: () => known.size,
    listLost,
    close: () => {
      stopTicks.forEach((stop) => stop());
      clearInterval(silenceTimer);
      peers.forEach((peer) => peer.close());
      peers.clear();
      known.clear();
    },
  };

  function checkIdlePeers(): void {
    if (silenceTimer !== undefined) return;
    options.checkPause(TICK_MS);
    peers.forEach((peer) => peer.checkSilence());
  }

  function startSilenceChecks(): void {
    if (silenceTimer !== undefined) return;
    // The time until now is no pause, and not yet that of the timer.
    options.checkPause(Infinity);
    silenceTimer = setInterval(checkWaitingPeers, SILENCE_CHECK_MS);
  }

  function checkWaitingPeers(): void {
    options.checkPause(SILENCE_CHECK_MS);
    let isWaiting = false;
    peers.forEach((peer) => {
      peer.checkSilence();
      if (!peer.isIdle()) isWaiting = true;
    });
    if (isWaiting) return;
    clearInterval(silenceTimer);
    silenceTimer = undefined;
  }

  function listLost(durationMs: number): readonly string[] {
    const local = [...peers.values()].filter(isLocalPeer);
    const connected = local.filter((peer) => peer.isConnected());
    // A daemon without links may be the one that is cut off.
    if (connected.length === 0) return [];
    if (connected.some(({ member }) => member.id < options.self.id)) return [];
    return local
      .filter((peer) => peer.getDisconnectedMs() > durationMs)
      .map(({ member }) => member.id)
      .slice(0, MAX_REMOVED_MEMBERS);
  }

  function isLocalPeer({ member }: Peer): boolean {
    return member.dataCentre === options.self.dataCentre;
  }

  function replace(listed: readonly Member[]): void {
    const ids = new Set(listed.map((member) => member.id));
    listed.filter(({ id }) => !isRecent(id)).forEach(addKnown);
    known.forEach((_, id) => {
      if (!ids.has(id) && !isRecent(id) && peers.get(id)?.isConnected() !== true) removeKnown(id);
    });
    updateLinks();
  }

  function merge(listed: readonly Member[]): void {
    listed
      .filter(({ id }) => !isRecent(id) && peers.get(id)?.isConnected() !== true)
      .forEach(addKnown);
    updateLinks();
  }

  /** Whether the daemon was added so recently that an old list may not hold it yet. */
  function isRecent(id: string): boolean {
    const addedAtMs = known.get(id)?.addedAtMs;
    return addedAtMs !== undefined && options.clock() - addedAtMs < MAX_LIST_AGE_MS;
  }

  /** Remembers a daemon; false if it is already known at this address. */
  function addKnown(member: Member): boolean {
    if (member.id === options.self.id) return false;
    if (known.get(member.id)?.member.address === member.address) return false;
    options.log.info('member-added', { member: member.id, address: member.address });
    removePeer(member.id);
    known.set(member.id, { member, addedAtMs: options.clock() });
    return true;
  }

  function removeKnown(id: string): void {
    options.log.info('member-removed', { member: id });
    removePeer(id);
    known.delete(id);
  }

  /** Opens the links that the plan wants; closes the others once no call is under way on them. */
  function updateLinks(): void {
    const candidates = [...known.values()].map(({ member }) => ({
      member,
      state: getLinkState(peers.get(member.id), options.rollouts),
    }));
    const chosen = chooseLinks(options.self, candidates, options.hasQuotas?.() ?? false);
    peers.forEach((peer, id) => {
      if (!chosen.has(id) && peer.isIdle()) removePeer(id);
    });
    known.forEach(({ member }, id) => {
      if (chosen.has(id) && !peers.has(id))
        peers.set(id, createPeer({ ...options, member, observeWaiting: startSilenceChecks }));
    });
  }

  function removePeer(id: string): void {
    peers.get(id)?.close();
    peers.delete(id);
  }
}

function getLinkState(peer: Peer | undefined, rollouts: RolloutExchange | undefined): LinkState {
  if (peer === undefined) return LinkState.None;
  if (!peer.isUsable()) return LinkState.Failing;
  const report = peer.getView('', 0)?.report;
  const isReplaced = report !== undefined && rollouts?.isReplaced(report) === true;
  return isReplaced ? LinkState.Replaced : LinkState.Usable;
}

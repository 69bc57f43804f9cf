import { createValidator, type RemoteItem, type ServiceSummary } from '@cactusdeal/schema';
import { type Channel, type Clock, createChannel } from '@cactusdeal/shared';
import type { Broadcast } from './CactusdealMeshBroadcast.js';
import { isGone, type MemberTable } from './CactusdealMeshMembers.js';
import { checkValue } from './CactusdealMeshMessages.js';
import { computeSummariesHash } from './CactusdealMeshSummaries.js';
import {
  computeVersion,
  type HashedVersion,
  isLater,
  type ReplicatedTable,
} from './CactusdealMeshTable.js';

/**
 * What this data centre knows of the others: their services and which members hold links to them.
 * It spreads by broadcast and is compared in the digest exchange.
 */
export interface RemoteView {
  readonly table: ReplicatedTable;
  /** Services of the data centres that are linked, or were a short time ago. */
  getSummaries(): readonly ServiceSummary[];
  /** Takes summaries over that came over a link, and spreads those that are news. */
  takeSummaries(
    dataCentre: string,
    stampMs: number,
    summaries: readonly ServiceSummary[],
    isFull: boolean,
  ): void;
  /** What is held of a data centre, linked or not, in short. */
  getHolding(dataCentre: string): Holding;
  /** Spreads whether this daemon has a link to the data centre, and who its readers are. */
  setLink(dataCentre: string, isUp: boolean, readers: readonly string[]): void;
  /** Data centres of which anything is known. */
  listDataCentres(): readonly string[];
  /** Mesh addresses of the readers there, as last heard by any member of this data centre. */
  listReaders(dataCentre: string): readonly string[];
  /** Expires what lost its link and forgets old removals; tells the observers of a change. */
  review(): void;
  readonly changes: Channel<readonly ServiceSummary[]>;
}

/** What is held of one data centre, in short. */
export interface Holding {
  /** Highest stamp of any of its services. */
  readonly stampMs: number;
  /** Hash of its services. */
  readonly hash: string;
}

/** What the view needs from its surroundings. */
export interface RemoteViewOptions {
  readonly memberId: string;
  readonly members: MemberTable;
  readonly broadcast: Broadcast;
  readonly clock: Clock;
  /** How long services of a data centre without a link are still believed. */
  readonly expiryMs: number;
}

/** How long a removed service is remembered. */
const REMOVAL_RETENTION_MS = 600_000;
const ITEMS_PER_BROADCAST = 64;
/** Remembered readers of one data centre. */
const MAX_READERS = 8;

const validateItem = createValidator<RemoteItem>('messages#/definitions/RemoteItem');

interface Row {
  readonly item: RemoteItem;
  readonly version: HashedVersion;
}

/** Creates a view that knows no other data centre. */
export function createRemoteView(options: RemoteViewOptions): RemoteView {
  const { broadcast, clock } = options;
  const rows = new Map<string, Row>();
  const linkedAtMs = new Map<string, number>();
  /** Computed at the first use after a change. */
  const holdings = new Map<string, Holding>();
  const changes = createChannel<readonly ServiceSummary[]>();
  let believed = '';

  function merge(item: RemoteItem): boolean {
    const key = getItemKey(item);
    const version = computeVersion(key, item.stampMs, 0);
    const known = rows.get(key);
    if (known !== undefined && !isLater(version, known.version)) return false;
    rows.set(key, { item, version });
    holdings.delete(item.dataCentre);
    return true;
  }

  function mergeAll(items: readonly RemoteItem[]): RemoteItem[] {
    const news = items.filter(merge);
    if (news.length > 0) updateBelief(true);
    return news;
  }

  function publish(items: readonly RemoteItem[]): void {
    for (let start = 0; start < items.length; start += ITEMS_PER_BROADCAST) {
      const part = items.slice(start, start + ITEMS_PER_BROADCAST);
      const last = part[part.length - 1] as RemoteItem;
      const id = `remote ${getItemKey(last)} ${last.stampMs} ${part.length}`;
      broadcast.publish(id, { kind: 'remote', items: part });
    }
  }

  function listItems(dataCentre?: string): RemoteItem[] {
    const items = [...rows.values()].map((row) => row.item);
    return dataCentre === undefined
      ? items
      : items.filter((item) => item.dataCentre === dataCentre);
  }

  function isLinkUp({ link }: RemoteItem): boolean {
    if (link?.isUp !== true) return false;
    const holder = options.members.get(link.memberId);
    return holder !== undefined && !isGone(holder);
  }

  function listBelieved(): ServiceSummary[] {
    const believedDataCentres = new Set(
      [...linkedAtMs].filter(([, atMs]) => clock() - atMs < options.expiryMs).map(([name]) => name),
    );
    return listItems()
      .filter((item) => believedDataCentres.has(item.dataCentre))
      .flatMap((item) => item.summary ?? [])
      .filter((summary) => !isRemoval(summary));
  }

  function updateBelief(isChanged = false): void {
    listItems()
      .filter(isLinkUp)
      .forEach((item) => linkedAtMs.set(item.dataCentre, clock()));
    const now = [...linkedAtMs].filter(([, atMs]) => clock() - atMs < options.expiryMs);
    const text = now.map(([name]) => name).join(' ');
    if (!isChanged && text === believed) return;
    believed = text;
    changes.push(listBelieved());
  }

  broadcast.receive('remote', (body) => {
    const items = Array.isArray(body.items) ? body.items : [];
    return mergeAll(items.map((item) => checkValue(validateItem, item))).length > 0;
  });

  return {
    table: {
      name: 'summaries',
      listVersions: (cutoffMs) =>
        [...rows.values()]
          .filter((row) => isCompared(row.item, cutoffMs))
          .map((row) => row.version),
      isNewerThanHeld: (version) => {
        const known = rows.get(version.key);
        return known === undefined || isLater(version, known.version);
      },
      getItem: (key) => rows.get(key)?.item,
      mergeItems: (items) => mergeAll(items.map((item) => checkValue(validateItem, item))),
    },
    getSummaries: listBelieved,
    takeSummaries: (dataCentre, stampMs, summaries, isFull) => {
      const items = summaries.map((summary) => ({ dataCentre, stampMs, summary }));
      const removed = isFull ? listRemoved(listItems(dataCentre), summaries, stampMs) : [];
      publish(mergeAll([...items, ...removed]));
    },
    getHolding: (dataCentre) => {
      const holding = holdings.get(dataCentre) ?? computeHolding(listItems(dataCentre));
      holdings.set(dataCentre, holding);
      return holding;
    },
    setLink: (dataCentre, isUp, readers) => {
      const link = { memberId: options.memberId, isUp, readers: [...readers] };
      const key = getItemKey({ dataCentre, stampMs: 0, link });
      const knownMs = rows.get(key)?.item.stampMs ?? 0;
      publish(mergeAll([{ dataCentre, stampMs: Math.max(clock(), knownMs + 1), link }]));
    },
    listDataCentres: () => [...new Set(listItems().map((item) => item.dataCentre))],
    listReaders: (dataCentre) => {
      const heard = listItems(dataCentre).filter((item) => item.link !== undefined);
      heard.sort((first, second) => second.stampMs - first.stampMs);
      return [...new Set(heard.flatMap((item) => item.link?.readers ?? []))].slice(0, MAX_READERS);
    },
    review: () => {
      updateBelief();
      rows.forEach(({ item }, key) => {
        if (isOver(item, clock() - REMOVAL_RETENTION_MS)) rows.delete(key);
      });
    },
    changes,
  };
}

function computeHolding(items: readonly RemoteItem[]): Holding {
  const services = items.filter((item) => item.summary !== undefined);
  const summaries = services.flatMap((item) => item.summary ?? []);
  return {
    stampMs: services.reduce((highest, item) => Math.max(highest, item.stampMs), 0),
    hash: computeSummariesHash(summaries.filter((summary) => !isRemoval(summary))),
  };
}

/** Removals of services that a full statement of their data centre no longer names. */
function listRemoved(
  items: readonly RemoteItem[],
  summaries: readonly ServiceSummary[],
  stampMs: number,
): RemoteItem[] {
  const named = new Set(summaries.map((summary) => summary.service));
  return items.flatMap(({ dataCentre, summary }) => {
    if (summary === undefined || isRemoval(summary) || named.has(summary.service)) return [];
    const { service } = summary;
    return [{ dataCentre, stampMs, summary: { dataCentre, service, readySlots: 0, gates: [] } }];
  });
}

function getItemKey({ dataCentre, summary, link }: RemoteItem): string {
  return link === undefined
    ? `service ${dataCentre} ${summary?.service ?? ''}`
    : `link ${dataCentre} ${link.memberId}`;
}

function isRemoval(summary: ServiceSummary): boolean {
  return summary.readySlots === 0 && summary.gates.length === 0;
}

function isOver(item: RemoteItem, beforeMs: number): boolean {
  const isDown = item.link
    ? !item.link.isUp
    : item.summary === undefined || isRemoval(item.summary);
  return isDown && item.stampMs < beforeMs;
}

function isCompared(item: RemoteItem, cutoffMs: number): boolean {
  return item.stampMs <= cutoffMs && !isOver(item, cutoffMs - REMOVAL_RETENTION_MS / 2);
}

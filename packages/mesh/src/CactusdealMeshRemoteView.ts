import { createValidator, type RemoteItem, type ServiceSummary } from '@cactusdeal/schema';
import { type Channel, type Clock, createChannel } from '@cactusdeal/shared';
import type { Broadcast } from './CactusdealMeshBroadcast.js';
import { isDeadOrLeft, type MemberTable } from './CactusdealMeshMembers.js';
import { checkValue } from './CactusdealMeshMessages.js';
import { computeSummariesHash } from './CactusdealMeshSummaries.js';
import {
  computeVersion,
  type HashedVersion,
  isLater,
  type ReplicatedTable,
} from './CactusdealMeshTable.js';

/**
 * Replicated state about the other data centres: their services, and which members of this data
 * centre hold links to them. Changes are broadcast, and anti-entropy repairs what a broadcast
 * missed.
 */
export interface RemoteView {
  readonly table: ReplicatedTable;
  /** Services of the data centres that have a link now or had one within `expiryMs`. */
  getSummaries(): readonly ServiceSummary[];
  /**
   * Merges summaries that arrived over a link and broadcasts those that are newer. With `isFull`,
   * services of the data centre that the summaries leave out are removed.
   */
  mergeSummaries(
    dataCentre: string,
    stampMs: number,
    summaries: readonly ServiceSummary[],
    isFull: boolean,
  ): void;
  /** Digest of the services held of a data centre, whether it is linked or not. */
  getDataCentreDigest(dataCentre: string): DataCentreDigest;
  /**
   * Broadcasts whether this daemon has a link to the data centre, and the addresses of its readers.
   */
  setLink(dataCentre: string, isUp: boolean, readers: readonly string[]): void;
  /** Data centres of which a service or a link is known. */
  listDataCentres(): readonly string[];
  /** Mesh addresses of the readers there, as members of this data centre last received them. */
  listReaders(dataCentre: string): readonly string[];
  /**
   * Hides the services of data centres without a link for `expiryMs`, notifies observers if that
   * changed the services, and deletes removals that are older than the retention.
   */
  discardExpired(): void;
  /** Emits all services returned by `getSummaries` after each change. */
  readonly changes: Channel<readonly ServiceSummary[]>;
}

/** Digest of the services held of one data centre. */
export interface DataCentreDigest {
  /** Highest stamp of any of its services; 0 without services. */
  readonly stampMs: number;
  /** Hash of its services, removed ones left out. */
  readonly hash: string;
}

/** Dependencies and settings of the view. */
export interface RemoteViewOptions {
  readonly memberId: string;
  readonly members: MemberTable;
  readonly broadcast: Broadcast;
  readonly clock: Clock;
  /** How long the services of a data centre stay visible after its last link was lost. */
  readonly expiryMs: number;
}

/** How long a removed service or link is kept, so that an older record cannot restore it. */
const REMOVAL_RETENTION_MS = 600_000;
/** Most items of one broadcast value. */
const ITEMS_PER_BROADCAST = 64;
/** Most reader addresses returned for one data centre. */
const MAX_READERS = 8;

const validateItem = createValidator<RemoteItem>('messages#/definitions/RemoteItem');

interface Row {
  readonly item: RemoteItem;
  readonly version: HashedVersion;
}

/** Creates an empty view. */
export function createRemoteView(options: RemoteViewOptions): RemoteView {
  const { broadcast, clock } = options;
  const rows = new Map<string, Row>();
  /** When each data centre was last seen to have a link. */
  const linkedAtMs = new Map<string, number>();
  /** Cached digests, dropped when an item of their data centre changes. */
  const digests = new Map<string, DataCentreDigest>();
  const changes = createChannel<readonly ServiceSummary[]>();
  /** Names of the reachable data centres, as of the last notification of observers. */
  let reachable = '';

  function merge(item: RemoteItem): boolean {
    const key = getItemKey(item);
    const version = computeVersion(key, item.stampMs, 0);
    const known = rows.get(key);
    if (known !== undefined && !isLater(version, known.version)) return false;
    rows.set(key, { item, version });
    digests.delete(item.dataCentre);
    return true;
  }

  function mergeAll(items: readonly RemoteItem[]): RemoteItem[] {
    const merged = items.filter(merge);
    if (merged.length > 0) updateReachable(true);
    return merged;
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

  /** A link counts only while the member that holds it is present. */
  function isLinkUp({ link }: RemoteItem): boolean {
    if (link?.isUp !== true) return false;
    const holder = options.members.get(link.memberId);
    return holder !== undefined && !isDeadOrLeft(holder);
  }

  function listReachableSummaries(): ServiceSummary[] {
    const reachableDataCentres = new Set(
      [...linkedAtMs].filter(([, atMs]) => clock() - atMs < options.expiryMs).map(([name]) => name),
    );
    return listItems()
      .filter((item) => reachableDataCentres.has(item.dataCentre))
      .flatMap((item) => item.summary ?? [])
      .filter((summary) => !isRemovedSummary(summary));
  }

  /**
   * Updates the times of last links; notifies observers after a change of items or reachability.
   */
  function updateReachable(isChanged = false): void {
    listItems()
      .filter(isLinkUp)
      .forEach((item) => linkedAtMs.set(item.dataCentre, clock()));
    const now = [...linkedAtMs].filter(([, atMs]) => clock() - atMs < options.expiryMs);
    const names = now.map(([name]) => name).join(' ');
    if (!isChanged && names === reachable) return;
    reachable = names;
    changes.push(listReachableSummaries());
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
    getSummaries: listReachableSummaries,
    mergeSummaries: (dataCentre, stampMs, summaries, isFull) => {
      const items = summaries.map((summary) => ({ dataCentre, stampMs, summary }));
      const removed = isFull ? listRemoved(listItems(dataCentre), summaries, stampMs) : [];
      publish(mergeAll([...items, ...removed]));
    },
    getDataCentreDigest: (dataCentre) => {
      const digest = digests.get(dataCentre) ?? computeDataCentreDigest(listItems(dataCentre));
      digests.set(dataCentre, digest);
      return digest;
    },
    setLink: (dataCentre, isUp, readers) => {
      const link = { memberId: options.memberId, isUp, readers: [...readers] };
      const key = getItemKey({ dataCentre, stampMs: 0, link });
      const knownMs = rows.get(key)?.item.stampMs ?? 0;
      publish(mergeAll([{ dataCentre, stampMs: Math.max(clock(), knownMs + 1), link }]));
    },
    listDataCentres: () => [...new Set(listItems().map((item) => item.dataCentre))],
    listReaders: (dataCentre) => {
      const linkItems = listItems(dataCentre).filter((item) => item.link !== undefined);
      linkItems.sort((first, second) => second.stampMs - first.stampMs);
      return [...new Set(linkItems.flatMap((item) => item.link?.readers ?? []))].slice(
        0,
        MAX_READERS,
      );
    },
    discardExpired: () => {
      updateReachable();
      rows.forEach(({ item }, key) => {
        if (isExpiredRemoval(item, clock() - REMOVAL_RETENTION_MS)) rows.delete(key);
      });
    },
    changes,
  };
}

function computeDataCentreDigest(items: readonly RemoteItem[]): DataCentreDigest {
  const services = items.filter((item) => item.summary !== undefined);
  const summaries = services.flatMap((item) => item.summary ?? []);
  return {
    stampMs: services.reduce((highest, item) => Math.max(highest, item.stampMs), 0),
    hash: computeSummariesHash(summaries.filter((summary) => !isRemovedSummary(summary))),
  };
}

/**
 * Creates removals of the held services that a full list of their data centre no longer contains.
 */
function listRemoved(
  items: readonly RemoteItem[],
  summaries: readonly ServiceSummary[],
  stampMs: number,
): RemoteItem[] {
  const named = new Set(summaries.map((summary) => summary.service));
  return items.flatMap(({ dataCentre, summary }) => {
    if (summary === undefined || isRemovedSummary(summary) || named.has(summary.service)) return [];
    const { service } = summary;
    return [{ dataCentre, stampMs, summary: { dataCentre, service, readySlots: 0, gates: [] } }];
  });
}

function getItemKey({ dataCentre, summary, link }: RemoteItem): string {
  return link === undefined
    ? `service ${dataCentre} ${summary?.service ?? ''}`
    : `link ${dataCentre} ${link.memberId}`;
}

function isRemovedSummary(summary: ServiceSummary): boolean {
  return summary.readySlots === 0 && summary.gates.length === 0;
}

/** Whether an item is a removed service or a closed link, with a stamp before the given time. */
function isExpiredRemoval(item: RemoteItem, beforeMs: number): boolean {
  const isDown = item.link
    ? !item.link.isUp
    : item.summary === undefined || isRemovedSummary(item.summary);
  return isDown && item.stampMs < beforeMs;
}

/**
 * Whether anti-entropy compares the item. Removals are left out after half of their retention, so
 * that they are not sent again to daemons that have already deleted them.
 */
function isCompared(item: RemoteItem, cutoffMs: number): boolean {
  return item.stampMs <= cutoffMs && !isExpiredRemoval(item, cutoffMs - REMOVAL_RETENTION_MS / 2);
}

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilentLog } from '@cactusdeal/shared';
import { createMemberDepartures, type MemberDepartures } from '../../CactusdealRelayDepartures.js';
import type { Upstream } from '../../CactusdealRelayTypes.js';
import {
  createUpstreamTracker,
  type UpstreamTracker,
} from '../../CactusdealRelayUpstreamTracker.js';
import { buildUpstream } from '../CactusdealRelayFixtures.js';

/** A start of the upstream on the host. */
interface Start {
  readonly id: string;
  readonly startedAtMs: number;
}

/** How an upstream ends, if it tells. */
const EndKind = {
  Dated: 'dated end',
  Undated: 'undated end',
  Leave: 'leave',
  Drain: 'drain',
} as const;
type EndKind = (typeof EndKind)[keyof typeof EndKind];

/** What reaches the daemon, or a restart of it; after a restart the others tell what they know at `told`. */
type News =
  | { readonly type: 'heartbeat'; readonly start: Start; readonly sequence: number }
  | { readonly type: EndKind; readonly start: Start }
  | { readonly type: 'restart' }
  | { readonly type: 'told' };

/** Time from the start of an instance to its end, in milliseconds. */
const LIFETIME_MS = 500;
const FIRST: Start = { id: 'u1', startedAtMs: 1_000 };
const MEMBER = 'd1';

/** A daemon, the next process of which knows only what the others know. */
class Host {
  public tracker: UpstreamTracker;

  public readonly others: MemberDepartures = createMemberDepartures();

  /** Starts that have ended or begun to leave, as the daemon has acknowledged. */
  private readonly departed = new Set<Start>();

  private latest: Start = FIRST;

  /** Start of the last heartbeat that this process got. */
  private beating: Start | undefined;

  public constructor() {
    this.tracker = this.startTracker();
  }

  private startTracker(): UpstreamTracker {
    return createUpstreamTracker({
      service: 'records',
      heartbeatMs: 1_000,
      clock: () => 0,
      wallClock: () => this.latest.startedAtMs + LIFETIME_MS,
      log: createSilentLog(),
      observe: () => {},
      observeDeparture: (departure) => this.others.record(MEMBER, departure),
    });
  }

  public receive(news: News): void {
    if (news.type === 'restart') {
      this.tracker.close();
      this.tracker = this.startTracker();
      this.beating = undefined;
    } else if (news.type === 'told') {
      this.tellDepartures();
    } else {
      if (news.start.startedAtMs > this.latest.startedAtMs) this.latest = news.start;
      this.receiveOwn(news);
    }
  }

  private tellDepartures(): void {
    this.others.list(MEMBER).forEach((departure) => this.tracker.receiveDeparture(departure));
  }

  private receiveOwn(news: Exclude<News, { type: 'restart' } | { type: 'told' }>): void {
    const { id, startedAtMs } = news.start;
    const upstream: Upstream = buildUpstream({ id, startedAtMs, sequence: 1 });
    if (news.type === 'heartbeat') {
      this.tracker.receive({ ...upstream, sequence: news.sequence, address: '127.0.0.1:1' });
      this.beating = news.start;
      return;
    }
    this.departed.add(news.start);
    if (news.type === EndKind.Dated) this.tracker.receiveEnd(id, startedAtMs);
    else if (news.type === EndKind.Undated) this.tracker.receiveEnd(id, undefined);
    else if (news.type === EndKind.Drain)
      this.tracker.receive({ ...upstream, state: 'draining', sequence: 9, address: '127.0.0.1:1' });
    else this.receiveLeave(news.start);
  }

  /** The start has answered a call that was sent to the first one, as none of a later one was known. */
  private receiveLeave({ id, startedAtMs }: Start): void {
    const known = buildUpstream({ id, startedAtMs: FIRST.startedAtMs });
    this.tracker.receiveLeaving(known, startedAtMs - this.latest.startedAtMs);
  }

  /** Calls reach an instance that has acknowledgedly departed, as it is the last one and answers to its id. */
  public isOpenForDeparted(): boolean {
    const known = this.tracker.get();
    return (
      known?.state === 'ready' && known.id === this.latest.id && this.departed.has(this.latest)
    );
  }

  /** The last instance is heard of, has not departed, and gets no calls. */
  public isClosedForLive(): boolean {
    if (this.beating !== this.latest || this.departed.has(this.latest)) return false;
    return this.tracker.get()?.state !== 'ready';
  }

  public close(): void {
    this.tracker.close();
  }
}

function listOrders<Item>(items: readonly Item[]): readonly (readonly Item[])[] {
  if (items.length < 2) return [items];
  return items.flatMap((item, index) =>
    listOrders(items.filter((_, other) => other !== index)).map((rest) => [item, ...rest]),
  );
}

function buildHeartbeat(start: Start, sequence = 1): News {
  return { type: 'heartbeat', start, sequence };
}

interface OrderCase {
  readonly name: string;
  /** Later starts; the first is `FIRST`. */
  readonly second: Start;
  readonly third?: Start;
  readonly hasRestart: boolean;
}

const SECOND: Start = { id: 'u1', startedAtMs: 2_000 };
const OTHER: Start = { id: 'u2', startedAtMs: 2_000 };

const cases: readonly OrderCase[] = [SECOND, OTHER].flatMap((second) =>
  [undefined, { id: 'u1', startedAtMs: 3_000 }, { id: 'u3', startedAtMs: 3_000 }].flatMap((third) =>
    [false, true].map((hasRestart) => ({
      name: `${second.id}${third === undefined ? '' : `, then ${third.id}`}${hasRestart ? ', with a restart of the daemon' : ''}`,
      second,
      ...(third === undefined ? {} : { third }),
      hasRestart,
    })),
  ),
);

/** All orders of what may reach the daemon if the second start ends in the given way. */
function listNewsOrders(
  { second, third, hasRestart }: OrderCase,
  end: EndKind,
): (readonly News[])[] {
  const news: News[] = [
    buildHeartbeat(FIRST),
    buildHeartbeat(second),
    { type: end, start: second },
  ];
  if (third !== undefined) news.push(buildHeartbeat(third));
  if (hasRestart) news.push({ type: 'restart' }, { type: 'told' });
  return [...listOrders(news)].filter(
    (order) =>
      !hasRestart ||
      order.findIndex(({ type }) => type === 'restart') <
        order.findIndex(({ type }) => type === 'told'),
  );
}

/** After a restart the daemon knows nothing until it is told. */
function isTold(order: readonly News[], length: number): boolean {
  const isSeen = (type: News['type']): boolean =>
    order.slice(0, length).some((news) => news.type === type);
  return !isSeen('restart') || isSeen('told');
}

/** An undated end speaks of all starts of its id until it arrives. */
function isLaterEnded(end: EndKind, { second, third }: OrderCase): boolean {
  return end === EndKind.Undated && second.id === third?.id;
}

// Guards against DRAIN: an end was ignored as it named a start that no heartbeat had told of.
describe('news of the starts of an upstream, in all orders', () => {
  Object.values(EndKind).forEach((end) => {
    cases.forEach((orderCase) => {
      it(`keep calls from a departed start and let a live one serve: ${end} of ${orderCase.name}`, () => {
        listNewsOrders(orderCase, end).forEach((order) => {
          const host = new Host();
          try {
            order.forEach((news, index) => {
              host.receive(news);
              const past = order.slice(0, index + 1).map((each) => JSON.stringify(each));
              if (isTold(order, index + 1))
                assert.equal(host.isOpenForDeparted(), false, `open after ${past.join(', ')}`);
              if (!isLaterEnded(end, orderCase))
                assert.equal(host.isClosedForLive(), false, `closed after ${past.join(', ')}`);
            });
          } finally {
            host.close();
          }
        });
      });
    });
  });
});

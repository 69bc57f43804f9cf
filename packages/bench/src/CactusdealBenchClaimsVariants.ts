import { createHash } from 'node:crypto';
import type { Platform } from '@cactusdeal/platform';
import { createSeededRandom, createSilentLog, getWallTimeMs } from '@cactusdeal/shared';
import { type ClaimGrouping, type ClaimTicket, createClaims } from '@cactusdeal/traffic';
import { decode, encode } from 'cbor-x';

/** A gate's client for one storage layout of claims. */
export interface ClaimVariant {
  /** Claims the key; resolves to undefined when the claim was not granted. */
  claim(key: string, deadlineAtMs: number): Promise<ClaimTicket | undefined>;
  close(): Promise<void>;
}

/** A named storage layout of claims; `create` makes the client of one gate. */
export interface ClaimVariantFactory {
  readonly name: string;
  readonly create: (platform: Platform, holderId: string) => ClaimVariant;
}

const SERVICE = 'paint-orders';
const WINDOW_MS = 10_000;
const SHARDS = 8;

/** The layout that the product uses by default: one platform record per idempotency key. */
export const KEY_VARIANT: ClaimVariantFactory = { name: 'key', create: buildVariant(undefined) };

/**
 * The product's grouped layout: one record per time window and shard, updated by compare-and-swap.
 */
export const PAGE_VARIANT: ClaimVariantFactory = {
  name: 'page',
  create: buildVariant({ windowMs: WINDOW_MS, shards: SHARDS }),
};

/** One record per second: the layout that a single writer could use on behalf of many gates. */
export const WRITER_VARIANT: ClaimVariantFactory = {
  name: 'writer',
  create: buildVariant({ windowMs: 1_000, shards: 1 }),
};

function buildVariant(grouping: ClaimGrouping | undefined): ClaimVariantFactory['create'] {
  return (platform, holderId) => {
    const random = createSeededRandom(Number(holderId));
    const log = createSilentLog();
    const common = { platform, holderId, clock: getWallTimeMs, log, random };
    const claims = createClaims(grouping === undefined ? common : { ...common, grouping });
    return {
      claim: async (key, deadlineAtMs) => {
        const { signal } = new AbortController();
        const claimed = await claims.claim({ service: SERVICE, key, deadlineAtMs, signal });
        return claimed.toMaybe().extract();
      },
      close: () => claims.close(),
    };
  };
}

interface LogRecord {
  readonly hash: string;
  readonly attempt: string;
  readonly status: number;
  settle(isGranted: boolean): void;
}

/**
 * One append-only log per time window and shard, with one entry per batch of claims and outcomes.
 * Platform failures are not handled, so this layout is for measurement only.
 */
export const LOG_VARIANT: ClaimVariantFactory = {
  name: 'log',
  create: (platform, holderId) => {
    const logs = new Map<string, ClaimLog>();
    let attemptCount = 0;
    const append = (key: string, status: number, attempt: string): Promise<boolean> => {
      const hash = createHash('sha256').update(key).digest('hex').slice(0, 32);
      const window = Math.floor(Number.parseInt(key.replace('-', '').slice(0, 12), 16) / WINDOW_MS);
      const logKey = `claim/${window}/${Number.parseInt(hash.slice(0, 8), 16) % SHARDS}`;
      const log = logs.get(logKey) ?? new ClaimLog(platform, logKey);
      logs.set(logKey, log);
      return new Promise((settle) => {
        log.add({ hash, attempt, status, settle });
      });
    };
    return {
      claim: async (key) => {
        attemptCount += 1;
        const attempt = `${holderId}/${attemptCount}`;
        if (!(await append(key, 0, attempt))) return undefined;
        const complete = (status: number): void => {
          void append(key, status, attempt);
        };
        return { complete, abandon: async () => {} };
      },
      close: () => Promise.resolve(),
    };
  },
};

/** One log: batches records, appends them and replays entries that other gates appended first. */
class ClaimLog {
  private readonly attemptByHash = new Map<string, string>();

  private waiting: LogRecord[] = [];

  private nextSequence = 1;

  private isWriting = false;

  public constructor(
    private readonly platform: Platform,
    private readonly keyPrefix: string,
  ) {}

  public add(record: LogRecord): void {
    this.waiting.push(record);
    if (!this.isWriting) void this.write();
  }

  private async write(): Promise<void> {
    this.isWriting = true;
    while (this.waiting.length > 0) {
      const batch = this.waiting;
      this.waiting = [];
      await this.append(batch);
    }
    this.isWriting = false;
  }

  private async append(batch: readonly LogRecord[]): Promise<void> {
    const value = encode(batch.map(({ hash, attempt, status }) => [hash, attempt, status]));
    for (;;) {
      const written = await this.platform.createIfAbsent(
        `${this.keyPrefix}/${this.nextSequence}`,
        value,
      );
      const outcome = written.unsafeCoerce();
      this.nextSequence += 1;
      const storedValue = outcome.written ? value : (outcome.current?.value ?? value);
      this.mergeRecords(decode(storedValue) as [string, string][]);
      if (outcome.written) break;
    }
    batch.forEach(({ hash, attempt, settle }) => settle(this.attemptByHash.get(hash) === attempt));
  }

  private mergeRecords(records: readonly (readonly [string, string])[]): void {
    records.forEach(([hash, attempt]) => {
      if (!this.attemptByHash.has(hash)) this.attemptByHash.set(hash, attempt);
    });
  }
}

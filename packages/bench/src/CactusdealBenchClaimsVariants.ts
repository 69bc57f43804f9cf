import { createHash } from 'node:crypto';
import type { Platform } from '@cactusdeal/platform';
import { createSeededRandom, createSilentLog, getWallTimeMs } from '@cactusdeal/shared';
import { type ClaimGrouping, type ClaimTicket, createClaims } from '@cactusdeal/traffic';
import { decode, encode } from 'cbor-x';

/** Claims one key; undefined when it was not granted. */
export interface ClaimVariant {
  claim(key: string, deadlineAtMs: number): Promise<ClaimTicket | undefined>;
  close(): Promise<void>;
}

/** One way to keep claims, as one gate uses it. */
export interface ClaimVariantFactory {
  readonly name: string;
  readonly create: (platform: Platform, holderId: string) => ClaimVariant;
}

const SERVICE = 'paint-orders';
const WINDOW_MS = 10_000;
const SHARDS = 8;

/** The product's: a record for each key. */
export const KEY_VARIANT: ClaimVariantFactory = { name: 'key', create: buildVariant(undefined) };

/** The product's with a record for each window and shard, changed by compare-and-swap. */
export const PAGE_VARIANT: ClaimVariantFactory = {
  name: 'page',
  create: buildVariant({ windowMs: WINDOW_MS, shards: SHARDS }),
};

/** One record for each second: what a single writer for many gates would keep. */
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

interface LogItem {
  readonly hash: string;
  readonly attempt: string;
  readonly status: number;
  settle(isOwn: boolean): void;
}

/** An append-only log for each window and shard, one entry for each batch. Without fault handling. */
export const LOG_VARIANT: ClaimVariantFactory = {
  name: 'log',
  create: (platform, holderId) => {
    const logs = new Map<string, ClaimLog>();
    let attempts = 0;
    const append = (key: string, status: number, attempt: string): Promise<boolean> => {
      const hash = createHash('sha256').update(key).digest('hex').slice(0, 32);
      const window = Math.floor(Number.parseInt(key.replace('-', '').slice(0, 12), 16) / WINDOW_MS);
      const name = `claim/${window}/${Number.parseInt(hash.slice(0, 8), 16) % SHARDS}`;
      const log = logs.get(name) ?? new ClaimLog(platform, name);
      logs.set(name, log);
      return new Promise((settle) => {
        log.add({ hash, attempt, status, settle });
      });
    };
    return {
      claim: async (key) => {
        attempts += 1;
        const attempt = `${holderId}/${attempts}`;
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

class ClaimLog {
  private readonly owners = new Map<string, string>();

  private waiting: LogItem[] = [];

  private nextSequence = 1;

  private isWriting = false;

  public constructor(
    private readonly platform: Platform,
    private readonly name: string,
  ) {}

  public add(item: LogItem): void {
    this.waiting.push(item);
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

  private async append(batch: readonly LogItem[]): Promise<void> {
    const value = encode(batch.map(({ hash, attempt, status }) => [hash, attempt, status]));
    for (;;) {
      const written = await this.platform.createIfAbsent(
        `${this.name}/${this.nextSequence}`,
        value,
      );
      const outcome = written.unsafeCoerce();
      this.nextSequence += 1;
      const winner = outcome.written ? value : (outcome.current?.value ?? value);
      this.mergeEntry(decode(winner) as [string, string][]);
      if (outcome.written) break;
    }
    batch.forEach(({ hash, attempt, settle }) => settle(this.owners.get(hash) === attempt));
  }

  private mergeEntry(entry: readonly (readonly [string, string])[]): void {
    entry.forEach(([hash, attempt]) => {
      if (!this.owners.has(hash)) this.owners.set(hash, attempt);
    });
  }
}

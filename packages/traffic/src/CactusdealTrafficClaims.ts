import { createHash } from 'node:crypto';
import type { Platform, WriteOutcome } from '@cactusdeal/platform';
import type { Clock, Log, Random } from '@cactusdeal/shared';
import { decode, encode } from 'cbor-x';
import { type Either, Left, Right } from 'purify-ts';
import { readKeyTime } from './CactusdealTrafficClaimsKey.js';
import { buildRefusal } from './CactusdealTrafficGateQueueRefusal.js';
import type { Claims, ClaimTicket } from './CactusdealTrafficPolicyTypes.js';
import { CallOutcome, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What claims are made of; times in milliseconds. */
export interface ClaimsOptions {
  readonly platform: Platform;
  /** Name of this daemon. */
  readonly holderId: string;
  /** Wall clock: the time in a key is compared with it. */
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  /** How long after its own time a key is remembered. */
  readonly retentionMs?: number;
}

type ClaimRequest = Parameters<Claims['claim']>[0];

interface ClaimRecord {
  readonly attempt: string;
  readonly holder: string;
  readonly deadlineAtMs: number;
  readonly status?: number;
}

const RETENTION_MS = 86_400_000;
const LEAD_MS = 60_000;
const MARGIN_MS = 2_000;

/** Creates claims with one record for each key. */
export function createClaims(options: ClaimsOptions): Claims {
  return new KeyClaims(options);
}

class KeyClaims implements Claims {
  private attempts = 0;

  public constructor(private readonly options: ClaimsOptions) {}

  public async claim(request: ClaimRequest): Promise<Either<Refusal, ClaimTicket>> {
    const { clock, holderId, platform, random, retentionMs = RETENTION_MS } = this.options;
    const time = readKeyTime(request.key, clock(), { retentionMs, leadMs: LEAD_MS });
    if (time.isLeft()) return Left(time.extract());
    this.attempts += 1;
    const record: ClaimRecord = {
      attempt: `${holderId}/${this.attempts}/${random()}`,
      holder: holderId,
      deadlineAtMs: request.deadlineAtMs,
    };
    const platformKey = computeClaimKey(request.service, request.key);
    const written = await platform.createIfAbsent(platformKey, encode(record));
    return written
      .mapLeft(() => buildRefusal(RefusalKind.ClaimUnavailable, 'claim could not be written'))
      .chain((outcome) => this.resolve(platformKey, record, outcome));
  }

  private resolve(
    platformKey: string,
    record: ClaimRecord,
    outcome: WriteOutcome,
  ): Either<Refusal, ClaimTicket> {
    const { clock, platform } = this.options;
    if (!outcome.written) return Left(buildClaimed(outcome.current?.value, clock()));
    const { revision } = outcome;
    return Right({
      complete: (status) => {
        void platform.compareAndSwap(platformKey, revision, encode({ ...record, status }));
      },
      abandon: () => {
        void platform.remove(platformKey, revision);
      },
    });
  }

  // eslint-disable-next-line class-methods-use-this -- nothing is held between claims
  public async close(): Promise<void> {
    await Promise.resolve();
  }
}

function computeClaimKey(service: string, key: string): string {
  const hash = createHash('sha256').update(JSON.stringify([service, key.toLowerCase()]));
  return `claim/${hash.digest('hex')}`;
}

function buildClaimed(value: Uint8Array | undefined, nowMs: number): Refusal {
  const record = value === undefined ? undefined : (decode(value) as ClaimRecord);
  const message = 'idempotency key is claimed by another attempt';
  if (record?.status !== undefined) {
    return buildRefusal(RefusalKind.KeyClaimed, message, { outcome: CallOutcome.Completed });
  }
  const isRunning = record !== undefined && nowMs < record.deadlineAtMs + MARGIN_MS;
  const outcome = isRunning ? CallOutcome.Running : CallOutcome.Unknown;
  return buildRefusal(RefusalKind.KeyClaimed, message, { outcome });
}

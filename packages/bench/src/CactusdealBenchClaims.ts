import { createMemoryPlatform, type Platform } from '@cactusdeal/platform';
import { createSeededRandom, getWallTimeMs, waitMs } from '@cactusdeal/shared';
import { buildIdempotencyKey } from '@cactusdeal/traffic';
import {
  type ClaimVariant,
  type ClaimVariantFactory,
  KEY_VARIANT,
  LOG_VARIANT,
  PAGE_VARIANT,
  WRITER_VARIANT,
} from './CactusdealBenchClaimsVariants.js';
import { runLoad } from './CactusdealBenchLoad.js';
import type { CallOutcome, LoadClass } from './CactusdealBenchLoadTypes.js';

/** Cost to the platform of one storage layout for claims under one load. */
export interface ClaimsReport {
  readonly variant: string;
  readonly gates: number;
  readonly claimsPerSecond: number;
  readonly granted: number;
  readonly refused: number;
  /**
   * Write attempts per granted claim, including lease grants and writes that record the outcome.
   */
  readonly writesPerClaim: number;
  readonly readsPerClaim: number;
  readonly writesPerSecond: number;
  /**
   * Bytes of values per granted claim: values sent with writes and current values returned by writes
   * that lost. Values returned by reads are not counted.
   */
  readonly bytesPerClaim: number;
  /** Latency percentiles of the granted claims. */
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface PlatformCounts {
  writes: number;
  reads: number;
  bytes: number;
}

/** Simulated one-way network delay to the platform, in milliseconds. */
const ONE_WAY_DELAY_MS = 2;
/** Time from a granted claim to the recording of its outcome, in milliseconds. */
const SERVICE_MS = 40;
const DEADLINE_MS = 2_000;
const GATE_COUNTS = [1, 2, 4, 8, 16];
const CLAIM_RATES = [20, 100];
const SINGLE_WRITER_CLAIM_RATES = [100, 500, 2_000];

/**
 * Measures every storage layout at several claim rates and numbers of gates; keys carry the current
 * time.
 */
export async function measureClaims(durationMs: number, seed: number): Promise<ClaimsReport[]> {
  const reports: ClaimsReport[] = [];
  for (const claimsPerSecond of CLAIM_RATES) {
    for (const gates of GATE_COUNTS) {
      const runs = [PAGE_VARIANT, LOG_VARIANT, KEY_VARIANT].map((factory) =>
        measureVariant(factory, gates, claimsPerSecond, durationMs, seed),
      );
      reports.push(...(await Promise.all(runs)));
    }
  }
  for (const claimsPerSecond of SINGLE_WRITER_CLAIM_RATES) {
    reports.push(await measureVariant(WRITER_VARIANT, 1, claimsPerSecond, durationMs, seed));
  }
  return reports;
}

async function measureVariant(
  factory: ClaimVariantFactory,
  gates: number,
  claimsPerSecond: number,
  durationMs: number,
  seed: number,
): Promise<ClaimsReport> {
  const counts = { writes: 0, reads: 0, bytes: 0 };
  const platform = createCountingPlatform(counts);
  const variants = Array.from({ length: gates }, (_, index) =>
    factory.create(platform, String(index + 1)),
  );
  const random = createSeededRandom(seed + 1);
  const result = await runLoad({
    classes: [buildLoadClass(claimsPerSecond)],
    durationMs,
    seed,
    send: () => {
      const variant = variants[Math.floor(random() * gates)] as ClaimVariant;
      return sendClaim(variant, buildIdempotencyKey(getWallTimeMs(), random));
    },
  });
  await Promise.all(variants.map((variant) => variant.close()));
  const [measured] = result.classes;
  const granted = measured?.good ?? 0;
  return {
    variant: factory.name,
    gates,
    claimsPerSecond,
    granted,
    refused: (measured?.sent ?? 0) - granted,
    writesPerClaim: toHundredths(counts.writes / granted),
    readsPerClaim: toHundredths(counts.reads / granted),
    writesPerSecond: toHundredths((counts.writes / durationMs) * 1_000),
    bytesPerClaim: Math.round(counts.bytes / granted),
    p50Ms: measured?.latency.p50Ms ?? 0,
    p99Ms: measured?.latency.p99Ms ?? 0,
  };
}

function buildLoadClass(callsPerSecond: number): LoadClass {
  const request = {
    name: 'claims',
    method: 'POST',
    path: '/',
    bodyBytes: 0,
    isKeyed: true,
  } as const;
  return { ...request, callsPerSecond, deadlineMs: DEADLINE_MS };
}

async function sendClaim(variant: ClaimVariant, key: string): Promise<CallOutcome> {
  const ticket = await variant.claim(key, getWallTimeMs() + DEADLINE_MS);
  if (ticket === undefined) return { label: 'refused', isSuccess: false };
  void waitMs(SERVICE_MS).then(() => ticket.complete(200));
  return { label: 'ok', isSuccess: true };
}

/**
 * Creates an in-memory platform behind a simulated network delay that counts calls and value bytes.
 */
function createCountingPlatform(counts: PlatformCounts): Platform {
  const memory = createMemoryPlatform();
  const sendDelayed = async <T>(run: () => Promise<T>): Promise<T> => {
    await waitMs(ONE_WAY_DELAY_MS);
    const answer = await run();
    await waitMs(ONE_WAY_DELAY_MS);
    return answer;
  };
  const write = async (value: Uint8Array, run: () => ReturnType<Platform['createIfAbsent']>) => {
    Object.assign(counts, { writes: counts.writes + 1, bytes: counts.bytes + value.byteLength });
    const written = await sendDelayed(run);
    written.ifRight((outcome) => {
      const returnedBytes = outcome.written ? 0 : (outcome.current?.value.byteLength ?? 0);
      Object.assign(counts, { bytes: counts.bytes + returnedBytes });
    });
    return written;
  };
  return {
    ...memory,
    createIfAbsent: (key, value, leaseId) =>
      write(value, () => memory.createIfAbsent(key, value, leaseId)),
    compareAndSwap: (key, revision, value, leaseId) =>
      write(value, () => memory.compareAndSwap(key, revision, value, leaseId)),
    get: (key) => {
      Object.assign(counts, { reads: counts.reads + 1 });
      return sendDelayed(() => memory.get(key));
    },
    grantLease: (ttlMs) => {
      Object.assign(counts, { writes: counts.writes + 1 });
      return sendDelayed(() => memory.grantLease(ttlMs));
    },
  };
}

function toHundredths(number: number): number {
  return Math.round(number * 100) / 100;
}

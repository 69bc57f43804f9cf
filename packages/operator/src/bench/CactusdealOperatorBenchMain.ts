/**
 * Measures, at three configuration sizes, the time and memory that a change costs a daemon, and the
 * size of the checkpoint that a reader loads. Run with `--expose-gc`; the last line of the output is
 * one JSON object.
 */
import {
  applyOperations,
  createConfigurationHolder,
  hashSnapshot,
  validateSnapshot,
} from '@cactusdeal/configuration';
import type { Snapshot } from '@cactusdeal/schema';
import { getMonotonicMs } from '@cactusdeal/shared';
import { buildShards, encodeShardValue } from '../CactusdealOperatorShards.js';
import { buildChange, buildSample, ROUTES_PER_SERVICE } from './CactusdealOperatorBenchSample.js';

const SIZES = [150, 1500, 15000] as const;
const RUNS = 15;
const CHANGE_COUNTS = [1, 16, 64, 256] as const;
const BYTES_PER_MB = 1024 * 1024;

interface Measurement {
  readonly services: number;
  readonly routes: number;
  readonly applyMs: number;
  readonly validateMs: number;
  /** Validation of only the services that the change affects. */
  readonly validateAffectedMs: number;
  readonly hashFullMs: number;
  readonly hashIncrementalMs: number;
  /** One entry applied by the holder: schema check, operations, rules, hash and swap. */
  readonly entryMs: number;
  /** Heap that one snapshot takes with its digest tree, in MiB. */
  readonly snapshotMb: number;
  readonly shards: number;
  /** Size of all shards, compressed. */
  readonly checkpointBytes: number;
  /** Length of all shards' JSON, in UTF-16 code units. */
  readonly textBytes: number;
  /**
   * Part of the checkpoint's bytes that a reader fetches because it lacks their shards, by the number
   * of changes that it is behind.
   */
  readonly missingShare: Readonly<Record<string, number>>;
}

const collectGarbage = (globalThis as { gc?: () => void }).gc ?? (() => {});

const measurements = SIZES.map(measureSize);
measurements.forEach((measurement) => process.stdout.write(`${JSON.stringify(measurement)}\n`));
const fits = {
  entryMsPerThousandServices: computeSlope(measurements.map(({ entryMs }) => entryMs)),
  hashFullMsPerThousandServices: computeSlope(measurements.map(({ hashFullMs }) => hashFullMs)),
  snapshotMbPerThousandServices: computeSlope(measurements.map(({ snapshotMb }) => snapshotMb)),
};
process.stdout.write(
  `${JSON.stringify({ bench: 'configuration', runs: RUNS, measurements, fits })}\n`,
);

function measureSize(services: number): Measurement {
  const snapshotMb = measureHeap(services);
  const base = buildSample(services);
  hashSnapshot(base);
  const change = (run: number) =>
    applyOperations(base, [buildChange(run, services)]).unsafeCoerce();
  const fresh = Array.from({ length: RUNS }, (_, run) => change(run));
  return {
    services,
    routes: services * ROUTES_PER_SERVICE,
    applyMs: measureMedian((run) => change(run)),
    validateMs: measureMedian((run) => validateSnapshot(fresh[run] as Snapshot)),
    validateAffectedMs: measureMedian((run) =>
      validateSnapshot(fresh[run] as Snapshot, new Set([`service-${run}`])),
    ),
    hashFullMs: measureMedian(() => hashSnapshot({ ...base })),
    hashIncrementalMs: measureMedian((run) => hashSnapshot(fresh[run] as Snapshot)),
    entryMs: measureEntry(base, services),
    snapshotMb,
    ...measureShards(base, services),
  };
}

function measureEntry(base: Snapshot, services: number): number {
  const holder = createConfigurationHolder();
  holder.replaceSnapshot(base, hashSnapshot(base)).unsafeCoerce();
  const entries: Parameters<typeof holder.applyEntry>[0][] = [];
  let current = base;
  for (let run = 0; run < RUNS; run += 1) {
    const operations = [buildChange(run, services)];
    const next = applyOperations(current, operations).unsafeCoerce();
    const hash = hashSnapshot(next);
    const { version: baseVersion } = current;
    const entry = { planId: 'bench', operator: 'bench', acceptedAtMs: 0 };
    entries.push({ ...entry, version: next.version, baseVersion, operations, hash });
    current = next;
  }
  return measureMedian((run) => {
    const entry = entries[run];
    if (entry !== undefined) holder.applyEntry(entry).unsafeCoerce();
  });
}

function measureHeap(services: number): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const snapshot = structuredClone(buildSample(services));
  hashSnapshot(snapshot);
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Reads the snapshot after the measurement, so that it is not garbage-collected before.
  return snapshot.version > 0 ? (after - before) / BYTES_PER_MB : 0;
}

type ShardMeasurement = Pick<
  Measurement,
  'shards' | 'checkpointBytes' | 'textBytes' | 'missingShare'
>;

function measureShards(base: Snapshot, services: number): ShardMeasurement {
  const shards = buildShards(base);
  const known = new Set(shards.map(({ hash }) => hash));
  const sizes = shards.map((shard) => encodeShardValue(shard).byteLength);
  const shares = CHANGE_COUNTS.map((count) => {
    const operations = Array.from({ length: count }, (_, number) => buildChange(number, services));
    const next = buildShards(applyOperations(base, operations).unsafeCoerce());
    const all = next.map((shard) => encodeShardValue(shard).byteLength);
    const missing = all.filter((_, index) => !known.has(next[index]?.hash ?? ''));
    return [String(count), computeSum(missing) / computeSum(all)];
  });
  return {
    shards: shards.length,
    checkpointBytes: computeSum(sizes),
    textBytes: computeSum(shards.map(({ text }) => text.length)),
    missingShare: Object.fromEntries(shares) as Record<string, number>,
  };
}

function measureMedian(run: (index: number) => unknown): number {
  const times = Array.from({ length: RUNS }, (_, index) => {
    const startMs = getMonotonicMs();
    run(index);
    return getMonotonicMs() - startMs;
  });
  return times.sort((left, right) => left - right)[Math.floor(RUNS / 2)] as number;
}

/** Slope of the least-squares line through the values at the three sizes, per thousand services. */
function computeSlope(values: readonly number[]): number {
  const meanSize = computeSum(SIZES) / SIZES.length;
  const meanValue = computeSum(values) / values.length;
  const products = SIZES.map(
    (size, index) => (size - meanSize) * ((values[index] ?? 0) - meanValue),
  );
  const squares = SIZES.map((size) => (size - meanSize) ** 2);
  return (computeSum(products) / computeSum(squares)) * 1000;
}

function computeSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

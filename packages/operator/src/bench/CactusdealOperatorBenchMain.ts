/**
 * Measures what a change of the configuration costs one daemon, and a checkpoint one reader, at
 * three sizes. Run with `--expose-gc`; the last line is one JSON object.
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
const CHANGES_BEHIND = [1, 16, 64, 256] as const;
const BYTES_PER_MB = 1024 * 1024;

interface Measurement {
  readonly services: number;
  readonly routes: number;
  readonly applyMs: number;
  readonly validateMs: number;
  /** Only the services that the change affects. */
  readonly validateAffectedMs: number;
  readonly hashFullMs: number;
  readonly hashIncrementalMs: number;
  /** One entry through the holder: schema, apply, validate, hash, swap. */
  readonly entryMs: number;
  /** Heap that one snapshot takes with its digests. */
  readonly snapshotMb: number;
  readonly shards: number;
  readonly checkpointBytes: number;
  readonly textBytes: number;
  /** Bytes fetched by a reader so many changes behind, only missing shards over all. */
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
  // Used after the measurement, so that the collector keeps it until then.
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
  const shares = CHANGES_BEHIND.map((count) => {
    const operations = Array.from({ length: count }, (_, number) => buildChange(number, services));
    const next = buildShards(applyOperations(base, operations).unsafeCoerce());
    const all = next.map((shard) => encodeShardValue(shard).byteLength);
    const missing = all.filter((_, index) => !known.has(next[index]?.hash ?? ''));
    return [String(count), addUp(missing) / addUp(all)];
  });
  return {
    shards: shards.length,
    checkpointBytes: addUp(sizes),
    textBytes: addUp(shards.map(({ text }) => text.length)),
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

/** Least squares through the three sizes, in units for each thousand services. */
function computeSlope(values: readonly number[]): number {
  const meanSize = addUp(SIZES) / SIZES.length;
  const meanValue = addUp(values) / values.length;
  const products = SIZES.map(
    (size, index) => (size - meanSize) * ((values[index] ?? 0) - meanValue),
  );
  const squares = SIZES.map((size) => (size - meanSize) ** 2);
  return (addUp(products) / addUp(squares)) * 1000;
}

function addUp(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

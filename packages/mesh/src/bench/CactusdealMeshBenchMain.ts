import { getWallTimeMs } from '@cactusdeal/shared';
import { encodeFrame, FRAME_HEADER_BYTES } from '../CactusdealMeshFrame.js';
import { createMemberTable } from '../CactusdealMeshMembers.js';
import { createOwnRecord } from '../CactusdealMeshParts.js';
import { createOptions } from './CactusdealMeshBenchFleet.js';
import { type HubResult, measureHub } from './CactusdealMeshBenchHub.js';
import { computeLinearFit, type LinearFit, formatResult } from './CactusdealMeshBenchMeasure.js';
import { type LinkResult, measureLinks } from './CactusdealMeshBenchLinks.js';
import { measureSize, type SizeResult } from './CactusdealMeshBenchSize.js';
import { createCountingState } from './CactusdealMeshBenchState.js';

/**
 * Linear fits over the measured sizes; x is the number of daemons or records, or its binary
 * logarithm.
 */
interface Slopes {
  readonly idleBytesPerSecondByDaemons: LinearFit;
  readonly changingBytesPerSecondByDaemons: LinearFit;
  readonly idleCpuRatioByDaemons: LinearFit;
  readonly surveyBytesByDaemons: LinearFit;
  readonly surveyMsByLogDaemons: LinearFit;
  readonly hopsByLogDaemons: LinearFit;
  readonly joinMsByLogDaemons: LinearFit;
  readonly memoryBytesByRecords: LinearFit;
  readonly hubChangeBytesPerSecondByDaemons: LinearFit;
}

interface BenchResult {
  readonly sizes: readonly SizeResult[];
  readonly hubs: readonly HubResult[];
  readonly links: readonly LinkResult[];
  readonly slopes: Slopes;
  /** Encoded length of a member record with a worker. */
  readonly memberRecordBytes: number;
}

const DEFAULT_SIZES = [32, 96, 192] as const;
/** Services in the snapshot that the hub sends as the baseline. */
const SERVICE_COUNT = 150;
/** Pairs of a number of data centres and a number of daemons in each. */
const LINK_SHAPES = [
  [2, 6],
  [2, 24],
  [4, 6],
] as const;
const RECORD_COUNTS = [1000, 4000, 16_000] as const;

await main();

async function main(): Promise<void> {
  const wanted = process.argv.slice(2).map(Number).filter(Number.isInteger);
  const counts = wanted.length >= 2 ? wanted : DEFAULT_SIZES;
  const sizes: SizeResult[] = [];
  const hubs: HubResult[] = [];
  for (const count of counts) {
    sizes.push(await measureSize(count));
    hubs.push(await measureHub(count, SERVICE_COUNT));
    process.stderr.write(`${formatResult(sizes.at(-1))}\n`);
  }
  const links: LinkResult[] = [];
  for (const [dataCentres, daemonsEach] of LINK_SHAPES) {
    links.push(await measureLinks(dataCentres, daemonsEach));
    process.stderr.write(`${formatResult(links.at(-1))}\n`);
  }
  const result: BenchResult = {
    sizes,
    hubs,
    links,
    slopes: computeSlopes(sizes, hubs),
    memberRecordBytes: encodeFrame(createRecord(0)).length - FRAME_HEADER_BYTES,
  };
  process.stdout.write(`${formatResult(result)}\n`);
}

function computeSlopes(sizes: readonly SizeResult[], hubs: readonly HubResult[]): Slopes {
  const fit = (pick: (result: SizeResult) => number, isLog = false) =>
    computeLinearFit(
      sizes.map((result) => [isLog ? Math.log2(result.size) : result.size, pick(result)] as const),
    );
  return {
    idleBytesPerSecondByDaemons: fit(({ idle }) => idle.sentBytesPerSecond),
    changingBytesPerSecondByDaemons: fit(({ changing }) => changing.sentBytesPerSecond),
    idleCpuRatioByDaemons: fit(({ idle }) => idle.cpuRatio),
    surveyBytesByDaemons: fit(({ survey }) => survey.bytesPerDaemon),
    surveyMsByLogDaemons: fit(({ survey }) => survey.durationMs, true),
    hopsByLogDaemons: fit(({ maxHops }) => maxHops, true),
    joinMsByLogDaemons: fit(({ joinMs }) => joinMs, true),
    memoryBytesByRecords: measureRecordMemory(),
    hubChangeBytesPerSecondByDaemons: computeLinearFit(
      hubs.map((hub, index) => [sizes[index]?.size ?? 0, hub.changeBytesPerSecond] as const),
    ),
  };
}

/** Fits the heap use of member tables to their number of records; needs `--expose-gc`. */
function measureRecordMemory(): LinearFit {
  const points = RECORD_COUNTS.map((count) => {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const table = createMemberTable(createRecord(0), 1000, getWallTimeMs);
    for (let index = 1; index < count; index += 1) table.merge(createRecord(index));
    globalThis.gc?.();
    const held = process.memoryUsage().heapUsed - before;
    return [table.list().length, held] as const;
  });
  return computeLinearFit(points);
}

function createRecord(index: number) {
  const record = createOwnRecord(
    createOptions(index, createCountingState(1), []),
    `10.0.0.1:${index}`,
    1,
  );
  const worker = { name: `w-${index}`, services: ['paint'], slots: 12, state: 'ready' as const };
  return { ...record, worker: { ...worker, readyAtMs: index } };
}

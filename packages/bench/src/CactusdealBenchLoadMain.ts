import { type ChildProcess, fork } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { createSeededRandom, getWallTimeMs } from '@cactusdeal/shared';
import { cac } from 'cac';
import { mergeRecorded, recordLoad } from './CactusdealBenchLoad.js';
import { createHttpSender } from './CactusdealBenchLoadHttp.js';
import { parseLoadPlan } from './CactusdealBenchLoadPlan.js';
import type { RecordedClass } from './CactusdealBenchLoadRecorder.js';
import type { LoadClass } from './CactusdealBenchLoadTypes.js';

interface LoadCliOptions {
  readonly target: string | string[];
  readonly plan: string;
  readonly seconds: number;
  readonly seed: number;
  readonly processes: number;
  readonly connections: number;
}

/** The part of a load that one process sends. */
interface LoadTask {
  readonly targets: readonly string[];
  readonly classes: readonly LoadClass[];
  readonly durationMs: number;
  readonly seed: number;
  readonly connections: number;
}

const MAX_PROCESSES = 8;
const EXIT_USAGE = 2;

async function runTask(task: LoadTask): Promise<RecordedClass[]> {
  const random = createSeededRandom(task.seed);
  const sender = createHttpSender({ ...task, clock: getWallTimeMs, random });
  const recorded = await recordLoad({ ...task, send: (arrival) => sender.send(arrival) });
  await sender.close();
  return recorded;
}

/**
 * Divides each rate evenly among the processes; the sum of their Poisson arrivals is Poisson too.
 */
function splitLoad(flags: LoadCliOptions, classes: readonly LoadClass[]): LoadTask[] {
  const count = Math.min(flags.processes, MAX_PROCESSES);
  return Array.from({ length: count }, (_, index) => ({
    targets: [flags.target].flat(),
    classes: classes.map((item) => ({ ...item, callsPerSecond: item.callsPerSecond / count })),
    durationMs: flags.seconds * 1_000,
    seed: flags.seed + index,
    connections: flags.connections,
  }));
}

async function runTaskInChild(task: LoadTask): Promise<RecordedClass[]> {
  const child: ChildProcess = fork(fileURLToPath(import.meta.url), ['child']);
  child.send(task);
  const [recorded] = (await once(child, 'message')) as [RecordedClass[]];
  return recorded;
}

async function runMain(): Promise<void> {
  const cli = cac('load');
  cli.option('--target <address>', 'IP address and port of a daemon; may be given more than once');
  cli.option(
    '--plan <file>',
    'Load plan: TOML file with one [[class]] table for each class of calls',
  );
  cli.option('--seconds <n>', 'Duration of the load in seconds', { default: 10 });
  cli.option('--seed <n>', 'Seed of the random arrival times', { default: 1 });
  cli.option('--processes <n>', 'Number of sending processes, at most 8', { default: 1 });
  cli.option('--connections <n>', 'Maximum connections of each process to each target', {
    default: 64,
  });
  cli.help();
  const flags = cli.parse().options as LoadCliOptions & { readonly help?: boolean };
  if (flags.help === true) return;
  if (flags.target === undefined || flags.plan === undefined) {
    process.stderr.write('load: --target and --plan are required\n');
    process.exitCode = EXIT_USAGE;
    return;
  }
  await parseLoadPlan(readFileSync(flags.plan, 'utf8')).caseOf({
    Left: ({ message }) => {
      process.stderr.write(`load: ${message}\n`);
      process.exitCode = EXIT_USAGE;
      return Promise.resolve();
    },
    Right: (classes) => runProcesses(flags, classes),
  });
}

async function runProcesses(flags: LoadCliOptions, classes: readonly LoadClass[]): Promise<void> {
  const tasks = splitLoad(flags, classes);
  const recorded = await Promise.all(
    tasks.length > 1 ? tasks.map(runTaskInChild) : tasks.map(runTask),
  );
  const result = mergeRecorded(recorded, flags.seconds * 1_000);
  process.stdout.write(`${JSON.stringify({ tool: 'load', seed: flags.seed, ...result })}\n`);
}

if (process.argv[2] === 'child') {
  const [task] = (await once(process, 'message')) as [LoadTask];
  process.send?.(await runTask(task));
  process.disconnect();
} else {
  await runMain();
}

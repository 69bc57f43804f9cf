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

interface LoadFlags {
  readonly target: string | string[];
  readonly plan: string;
  readonly seconds: number;
  readonly seed: number;
  readonly processes: number;
  readonly connections: number;
}

/** The part of a load that one process makes. */
interface LoadTask {
  readonly targets: readonly string[];
  readonly classes: readonly LoadClass[];
  readonly durationMs: number;
  readonly seed: number;
  readonly connections: number;
}

const MAX_PROCESSES = 8;
const USAGE_EXIT_CODE = 2;

async function runTask(task: LoadTask): Promise<RecordedClass[]> {
  const random = createSeededRandom(task.seed);
  const sender = createHttpSender({ ...task, clock: getWallTimeMs, random });
  const recorded = await recordLoad({ ...task, send: (arrival) => sender.send(arrival) });
  await sender.close();
  return recorded;
}

/** Divides the rates among the processes, whose arrivals together are Poisson again. */
function splitTask(flags: LoadFlags, classes: readonly LoadClass[]): LoadTask[] {
  const count = Math.min(flags.processes, MAX_PROCESSES);
  return Array.from({ length: count }, (_, index) => ({
    targets: [flags.target].flat(),
    classes: classes.map((item) => ({ ...item, callsPerSecond: item.callsPerSecond / count })),
    durationMs: flags.seconds * 1_000,
    seed: flags.seed + index,
    connections: flags.connections,
  }));
}

async function runChild(task: LoadTask): Promise<RecordedClass[]> {
  const child: ChildProcess = fork(fileURLToPath(import.meta.url), ['child']);
  child.send(task);
  const [recorded] = (await once(child, 'message')) as [RecordedClass[]];
  return recorded;
}

async function runMain(): Promise<void> {
  const cli = cac('load');
  cli.option('--target <address>', 'IP number and port of a daemon; may be given more than once');
  cli.option('--plan <file>', 'TOML file with one [[class]] table for each class of calls');
  cli.option('--seconds <n>', 'Length of the load', { default: 10 });
  cli.option('--seed <n>', 'Seed of the arrivals', { default: 1 });
  cli.option('--processes <n>', 'Processes that send', { default: 1 });
  cli.option('--connections <n>', 'Connections of each process to each target', { default: 64 });
  cli.help();
  const flags = cli.parse().options as LoadFlags & { readonly help?: boolean };
  if (flags.help === true) return;
  if (flags.target === undefined || flags.plan === undefined) {
    process.stderr.write('load: --target and --plan are required\n');
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  await parseLoadPlan(readFileSync(flags.plan, 'utf8')).caseOf({
    Left: ({ message }) => {
      process.stderr.write(`load: ${message}\n`);
      process.exitCode = USAGE_EXIT_CODE;
      return Promise.resolve();
    },
    Right: (classes) => runLoadOf(flags, classes),
  });
}

async function runLoadOf(flags: LoadFlags, classes: readonly LoadClass[]): Promise<void> {
  const tasks = splitTask(flags, classes);
  const recorded = await Promise.all(tasks.length > 1 ? tasks.map(runChild) : tasks.map(runTask));
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

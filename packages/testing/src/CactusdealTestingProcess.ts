import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { FailureError } from '@cactusdeal/shared';

const MAX_KEPT_LINES = 200_000;
const READY_TIMEOUT_MS = 20_000;
const EXIT_CODE_ON_SIGNAL = 128;

/** How to start a process of Node.js on a compiled script. */
export interface ProcessOptions {
  /** Name in messages. */
  readonly name: string;
  /** Path of the compiled script. */
  readonly script: string;
  readonly args?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

/** Exit of a process: a code, or the signal that ended it. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process that printed its `ready` line. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  /** Fields of the `ready` line. */
  readonly ready: Readonly<Record<string, string>>;
  /** Lines of both outputs so far. */
  getLines(): readonly string[];
  isRunning(): boolean;
  /** Sends a signal (SIGKILL when none is named) and waits for the exit. */
  kill(signal?: NodeJS.Signals): Promise<ProcessExit>;
  /** Sends a signal without waiting. */
  signal(signal: NodeJS.Signals): void;
  waitExit(): Promise<ProcessExit>;
  pause(): void;
  resume(): void;
}

const runningChildren = new Set<ChildProcess>();
process.on('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));
// Without a handler a signal would end this process past the clean-up above.
(['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
  process.once(signal, () => process.exit(EXIT_CODE_ON_SIGNAL));
});

/**
 * Starts a process and waits for a line that starts with `ready `.
 *
 * @throws FailureError of kind `ProcessNotReady` when it exits or stays silent instead.
 */
export async function startProcess(options: ProcessOptions): Promise<ManagedProcess> {
  const child = spawn(process.execPath, [options.script, ...(options.args ?? [])], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...options.env },
  });
  runningChildren.add(child);
  const exited = watchExit(child);
  const lines: string[] = [];
  const ready = await waitReady(child, lines, exited).catch((caught: unknown) => {
    child.kill('SIGKILL');
    const tail = lines.slice(-20).join('\n');
    throw new FailureError({
      kind: 'ProcessNotReady',
      message: `${options.name}: ${String(caught)}\n${tail}`,
    });
  });
  return buildProcess(options.name, child, lines, ready, exited);
}

/** Reads `key=value` fields of a line. */
export function parseFields(line: string): Record<string, string> {
  const fields = line.split(' ').filter((part) => part.includes('='));
  return Object.fromEntries(
    fields.map((part) => [part.slice(0, part.indexOf('=')), part.slice(part.indexOf('=') + 1)]),
  );
}

async function watchExit(child: ChildProcess): Promise<ProcessExit> {
  const [code, signal] = (await once(child, 'close')) as [number | null, NodeJS.Signals | null];
  runningChildren.delete(child);
  return { code, signal };
}

function waitReady(
  child: ChildProcess,
  lines: string[],
  exited: Promise<ProcessExit>,
): Promise<Record<string, string>> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('no ready line')), READY_TIMEOUT_MS);
    exited.then(({ code, signal }) => {
      clearTimeout(timer);
      reject(new Error(`exited with ${code ?? signal}`));
    }, reject);
    [child.stdout, child.stderr].forEach((output) => {
      if (output === null) return;
      createInterface({ input: output }).on('line', (line) => {
        if (lines.length < MAX_KEPT_LINES) lines.push(line);
        if (!line.startsWith('ready ')) return;
        clearTimeout(timer);
        resolve(parseFields(line));
      });
    });
  });
}

function buildProcess(
  name: string,
  child: ChildProcess,
  lines: readonly string[],
  ready: Readonly<Record<string, string>>,
  exited: Promise<ProcessExit>,
): ManagedProcess {
  const isRunning = (): boolean => child.exitCode === null && child.signalCode === null;
  const signal = (value: NodeJS.Signals): void => {
    if (isRunning()) child.kill(value);
  };
  return {
    name,
    pid: child.pid ?? 0,
    ready,
    getLines: () => lines,
    isRunning,
    signal,
    waitExit: () => exited,
    kill: (value = 'SIGKILL') => {
      // A stopped process does not act on a signal other than SIGKILL.
      if (value !== 'SIGKILL') signal('SIGCONT');
      signal(value);
      return exited;
    },
    pause: () => signal('SIGSTOP'),
    resume: () => signal('SIGCONT'),
  };
}

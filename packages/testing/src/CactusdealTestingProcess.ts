import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { FailureError } from '@cactusdeal/shared';

const MAX_KEPT_LINES = 200_000;
const READY_TIMEOUT_MS = 20_000;
const EXIT_CODE_ON_SIGNAL = 128;

/** A compiled script to run in a Node.js process of its own. */
export interface ProcessOptions {
  /** Name of the process in error messages. */
  readonly name: string;
  /** Path of the compiled script. */
  readonly script: string;
  readonly args?: readonly string[];
  /** Added to this process's environment. */
  readonly env?: Readonly<Record<string, string>>;
}

/** Exit of a process: a code, or the signal that ended it. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A child process that has printed its `ready` line. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  /** Fields of the `ready` line. */
  readonly ready: Readonly<Record<string, string>>;
  /** Lines printed so far to standard output and standard error; the first 200 000 are kept. */
  getLines(): readonly string[];
  isRunning(): boolean;
  /** Sends a signal (SIGKILL by default) and waits for the exit. */
  kill(signal?: NodeJS.Signals): Promise<ProcessExit>;
  /** Sends a signal without waiting for the exit. Does nothing when the process has exited. */
  signal(signal: NodeJS.Signals): void;
  waitExit(): Promise<ProcessExit>;
  /** Suspends the process (SIGSTOP). */
  pause(): void;
  /** Continues a suspended process (SIGCONT). */
  resume(): void;
}

const runningChildren = new Set<ChildProcess>();
process.on('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));
// Without these handlers a signal would end this process without an `exit` event, and the children
// would keep running.
(['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
  process.once(signal, () => process.exit(EXIT_CODE_ON_SIGNAL));
});

/**
 * Starts a process and waits for a line that starts with `ready `.
 *
 * @throws FailureError of kind `ProcessNotReady`, with the last lines of output, when the process
 *   exits first or prints no such line within 20 s.
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
      message: `process ${options.name} did not become ready: ${String(caught)}; its last lines:\n${tail}`,
    });
  });
  return buildProcess(options.name, child, lines, ready, exited);
}

/** Parses the `key=value` fields of a line; other words are ignored. */
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
    const timer = setTimeout(
      () => reject(new Error(`no ready line within ${READY_TIMEOUT_MS} ms`)),
      READY_TIMEOUT_MS,
    );
    exited.then(({ code, signal }) => {
      clearTimeout(timer);
      reject(new Error(`exited with ${code ?? signal} before a ready line`));
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
      // A process suspended by SIGSTOP handles no signal but SIGKILL until it is continued.
      if (value !== 'SIGKILL') signal('SIGCONT');
      signal(value);
      return exited;
    },
    pause: () => signal('SIGSTOP'),
    resume: () => signal('SIGCONT'),
  };
}

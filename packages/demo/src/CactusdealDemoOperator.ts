import { execFile } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';
import { promisify } from 'node:util';
import type { Operation, Plan } from '@cactusdeal/schema';
import { confirmPlan, type Host, resolveScript } from '@cactusdeal/testing';

const execute = promisify(execFile);
const TIMEOUT_MS = 30_000;

/** The operator at one daemon, working through the command line. */
export interface DemoOperator {
  /** Plans an intent: words of the command line, such as `drain catalogue-1`. */
  plan(...words: readonly string[]): Promise<Plan>;
  /** Plans operations, handed over as a file. */
  planOperations(operations: readonly Operation[], directory: string): Promise<Plan>;
  /** Confirms a plan at once, as `cactusctl confirm` does, without the start of a process. */
  confirm(plan: Plan): Promise<number>;
  readStatus(): Promise<Readonly<Record<string, unknown>>>;
}

/** Creates an operator that uses the daemon of one host. */
export function createOperator(host: Host): DemoOperator {
  const run = async (words: readonly string[]): Promise<unknown> => {
    const script = resolveScript('client', 'CactusdealClientMain.js');
    const flags = ['--daemon', host.adminAddress, '--operator', 'demo', '--json'];
    const { stdout } = await execute(process.execPath, [script, ...words, ...flags], {
      timeout: TIMEOUT_MS,
    });
    return JSON.parse(stdout) as unknown;
  };
  return {
    plan: async (...words) => (await run(words)) as Plan,
    planOperations: async (operations, directory) => {
      const file = path.join(directory, 'operations.json');
      await writeFile(file, JSON.stringify({ operations }));
      return (await run(['apply', file])) as Plan;
    },
    confirm: async (plan) => {
      const { body } = await confirmPlan(host, plan.id, 'demo');
      return Number(body.version);
    },
    readStatus: async () => (await run(['status'])) as Readonly<Record<string, unknown>>,
  };
}

import { execFile } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';
import { promisify } from 'node:util';
import type { Operation, Plan } from '@cactusdeal/schema';
import { confirmPlan, type Host, resolveScript } from '@cactusdeal/testing';

const execute = promisify(execFile);
const TIMEOUT_MS = 30_000;

/** An operator who plans changes at one daemon with the command-line client `cactusctl`. */
export interface DemoOperator {
  /** Plans an intent given as arguments of `cactusctl`, such as `drain`, `catalogue-1`. */
  plan(...args: readonly string[]): Promise<Plan>;
  /** Plans operations with `cactusctl apply`; their file is written into `directory`. */
  planOperations(operations: readonly Operation[], directory: string): Promise<Plan>;
  /**
   * Confirms a plan and returns the new version. Calls the admin interface as `cactusctl confirm`
   * does, so that the start of a process does not add to the measured time.
   */
  confirm(plan: Plan): Promise<number>;
  readStatus(): Promise<Readonly<Record<string, unknown>>>;
}

/** Creates an operator that uses the daemon of one host. */
export function createOperator(host: Host): DemoOperator {
  const runClient = async (args: readonly string[]): Promise<unknown> => {
    const script = resolveScript('client', 'CactusdealClientMain.js');
    const flags = ['--daemon', host.adminAddress, '--operator', 'demo', '--json'];
    const { stdout } = await execute(process.execPath, [script, ...args, ...flags], {
      timeout: TIMEOUT_MS,
    });
    return JSON.parse(stdout) as unknown;
  };
  return {
    plan: async (...args) => (await runClient(args)) as Plan,
    planOperations: async (operations, directory) => {
      const file = path.join(directory, 'operations.json');
      await writeFile(file, JSON.stringify({ operations }));
      return (await runClient(['apply', file])) as Plan;
    },
    confirm: async (plan) => {
      const { body } = await confirmPlan(host, plan.id, 'demo');
      return Number(body.version);
    },
    readStatus: async () => (await runClient(['status'])) as Readonly<Record<string, unknown>>,
  };
}

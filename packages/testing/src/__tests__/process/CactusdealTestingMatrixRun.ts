import assert from 'node:assert/strict';
import { createSeededRandom, formatError, invariant, waitMs } from '@cactusdeal/shared';
import {
  type Cluster,
  createIdempotencyKey,
  createLedger,
  startVersionWatch,
  waitUntil,
} from '../../index.js';
import {
  DATA_CENTRES,
  findReader,
  settleCluster,
  startBackgroundCalls,
} from './CactusdealTestingMatrixCluster.js';
import { MATRIX_FAULTS } from './CactusdealTestingMatrixFaults.js';
import { MATRIX_STEPS } from './CactusdealTestingMatrixSteps.js';
import type {
  CellContext,
  MatrixFault,
  MatrixStep,
  StepResult,
} from './CactusdealTestingMatrixTypes.js';

const STEP_START_TIMEOUT_MS = 3000;
/** Time after which a fault is healed although the step has not ended. */
const FAULT_DURATION_LIMIT_MS = 4000;
const KEY_SEED = 71;
const MAX_FAILURE_LENGTH = 300;

/** One cell of the fault matrix: a fault that occurs at a step. */
export interface MatrixCell {
  readonly fault: MatrixFault;
  readonly step: MatrixStep;
  /** Why the fault cannot affect the step; undefined when it can. */
  readonly impossibleReason: string | undefined;
}

/** Steps that distribute the configuration and involve no upstream. */
const CONTROL_PLANE_STEPS = ['plan', 'confirm', 'log write', 'read', 'dissemination', 'apply'];

/** All cells: every fault at every step. */
export const MATRIX_CELLS: readonly MatrixCell[] = MATRIX_FAULTS.flatMap((fault) =>
  MATRIX_STEPS.map((step) => ({ fault, step, impossibleReason: explainImpossible(fault, step) })),
);

/** Finds a cell by the names of its fault and step. */
export function findCell(faultName: string, stepName: string): MatrixCell {
  const found = MATRIX_CELLS.find(
    ({ fault, step }) => fault.name === faultName && step.name === stepName,
  );
  invariant(
    found !== undefined,
    `the fault matrix has no fault '${faultName}' or no step '${stepName}'`,
  );
  return found;
}

/** Formats the name of a cell in test titles and in the printed table. */
export function formatCell({ fault, step }: MatrixCell): string {
  return `${step.name}: ${fault.name}`;
}

/**
 * Runs one cell and checks the guarantees that hold under every fault. Rejects with all failures in
 * one message. Afterwards the cluster has no fault and serves calls, unless `settle` is among the
 * failures.
 */
export async function runCell(cluster: Cluster, cell: MatrixCell, label: string): Promise<void> {
  const context = await createContext(cluster, label);
  const { fault, step } = cell;
  const stopBackground = startBackgroundCalls(cluster, context.ledger, {
    createId: context.createId,
    createKey: createKeyGenerator(label),
  });
  const failures: string[] = [];
  const collectFailure = async (what: string, run: () => Promise<void>): Promise<void> => {
    await run().catch((caught: unknown) => failures.push(`${what}: ${formatError(caught)}`));
  };
  let result: StepResult = {};
  await collectFailure('prepare', async () => step.prepare?.(context, fault));
  await collectFailure('step', async () => {
    result = await runStep(context, cell, collectFailure);
  });
  await collectFailure('settle', async () => {
    await settleCluster(cluster);
  });
  if (failures.length === 0)
    await collectFailure('check', () => step.checkResult(context, result, fault));
  await stopBackground();
  await collectFailure('close', () => context.watch.close());
  await collectFailure('calls', async () => {
    failures.push(...(await context.ledger.collectViolations(cluster.hosts)));
  });
  failures.push(...context.watch.getViolations());
  assert.ok(failures.length === 0, failures.map(trimFailure).join('; '));
}

function trimFailure(text: string): string {
  return text.replaceAll(/\s+/g, ' ').slice(0, MAX_FAILURE_LENGTH);
}

/** Runs the step, injects the fault before or during it and heals it when the step ends or takes long. */
async function runStep(
  context: CellContext,
  { fault, step }: MatrixCell,
  collectFailure: (what: string, run: () => Promise<void>) => Promise<void>,
): Promise<StepResult> {
  const injectsDuringStep = fault.isInjectedDuringStep && step.hasStarted !== undefined;
  if (!injectsDuringStep) await fault.inject(context);
  const running = step.run(context);
  running.catch(() => {});
  if (injectsDuringStep) {
    await waitUntil(() => step.hasStarted?.(context), {
      what: 'the step to start',
      timeoutMs: STEP_START_TIMEOUT_MS,
    });
    await fault.inject(context);
  }
  await step.unblock?.(context);
  const limitTimer = new AbortController();
  await Promise.race([running.catch(() => {}), waitMs(FAULT_DURATION_LIMIT_MS, limitTimer.signal)]);
  limitTimer.abort();
  await collectFailure('heal', () => fault.heal(context));
  await context.cluster.heal();
  return running;
}

async function createContext(cluster: Cluster, label: string): Promise<CellContext> {
  const [first, second] = DATA_CENTRES;
  const reader = await findReader(cluster, first);
  const actor = cluster.listHosts(first).find((host) => host !== reader);
  const other = cluster.listHosts(second)[0];
  invariant(
    actor !== undefined && other !== undefined,
    'a cell needs a host beside the reader in the first data centre and a host in the second',
  );
  let count = 0;
  return {
    ...{ cluster, label, actor, other, reader },
    ledger: createLedger(),
    watch: startVersionWatch(cluster.hosts),
    createId: () => {
      count += 1;
      return `${label}-${count}`;
    },
  };
}

/** Creates a generator of idempotency keys whose random part depends on the label only. */
function createKeyGenerator(label: string): () => string {
  const seed = [...label].reduce((sum, char) => sum * 31 + char.charCodeAt(0), KEY_SEED);
  const random = createSeededRandom(seed);
  return () => createIdempotencyKey(Date.now(), random);
}

function explainImpossible(fault: MatrixFault, step: MatrixStep): string | undefined {
  if (fault.name === 'a request crashes each upstream' && CONTROL_PLANE_STEPS.includes(step.name)) {
    return 'the request reaches only upstreams, which take no part in this step';
  }
  if (fault.name === 'the upstream dies' && CONTROL_PLANE_STEPS.includes(step.name)) {
    return 'upstreams take no part in this step';
  }
  if (fault.name === 'the upstream dies' && step.name === 'announce') {
    return 'the step itself begins by killing the upstream';
  }
  return undefined;
}

import assert from 'node:assert/strict';
import type { Plan } from '@cactusdeal/schema';
import { createSeededRandom } from '@cactusdeal/shared';
import {
  type CallResult,
  type CallSpec,
  confirmPlan,
  createIdempotencyKey,
  fetchSnapshot,
  fetchStatus,
  type Host,
  sendAdmin,
  sendIntent,
  waitUntil,
} from '../../index.js';
import { BAD_ROUTE, writeBadVersion } from './CactusdealTestingMatrixBadVersion.js';
import { acceptWeights, MatrixPath, settleCluster } from './CactusdealTestingMatrixCluster.js';
import type {
  CellContext,
  MatrixFault,
  MatrixStep,
  StepResult,
} from './CactusdealTestingMatrixTypes.js';

const SERVICE = 'orders';
const UPLOAD_SIZE_BYTES = 2 * 1024 * 1024;
/** Number of an upstream's last lines that are searched for the run of a request. */
const MAX_SCANNED_LINES = 400;
const PLATFORM_DELAY_MS = 200;
const HISTORY_LIMIT = 8;
const STEP_TIMEOUT_MS = 5000;
const random = createSeededRandom(5);

/**
 * State that a cell's step keeps between its functions: the id of the prepared plan, the platform
 * calls counted before the step and the id of the last request.
 */
const stepStates = new WeakMap<
  CellContext,
  { planId?: string; calls?: number; held?: Promise<CallResult>; requestId?: string }
>();

/** All steps of the matrix. `npm run fault-matrix` selects cells by their names. */
export const MATRIX_STEPS: readonly MatrixStep[] = [
  // The upstream restarts and announces itself to its daemon.
  {
    name: 'announce',
    run: async ({ actor }) => {
      if (actor.getUpstream().isRunning()) await actor.getUpstream().kill();
      await actor.startUpstream().catch(() => undefined);
      return {};
    },
    checkResult: async ({ cluster, actor }) => {
      const hosts = cluster.listHosts(actor.dataCentre);
      await waitUntil(() => isWorkerReady(hosts, actor), {
        what: `worker ${actor.worker?.name} to be ready in the member lists of its data centre`,
      });
    },
  },
  // An operator plans a change and does not confirm it.
  {
    name: 'plan',
    run: async (context) => {
      const planId = await planWeights(context, context.actor);
      return planId === undefined ? {} : { planId };
    },
    checkResult: async (context, { planId }) => {
      assert.equal(
        await countInHistory(context, planId),
        0,
        'an unconfirmed plan is in the history',
      );
    },
  },
  // An operator confirms a plan.
  {
    name: 'confirm',
    prepare: createPlan,
    hasStarted: async () => true,
    run: confirmPreparedPlan,
    checkResult: checkConfirmedOnce,
  },
  // As `confirm`, but faults are injected while the change is written to the platform's log.
  {
    name: 'log write',
    prepare: async (context, fault) => {
      await createPlan(context);
      await addPlatformDelay(context, fault, 'log');
    },
    hasStarted: (context) => hasCalledPlatform(context, 'log'),
    run: confirmPreparedPlan,
    checkResult: checkConfirmedOnce,
  },
  // The second data centre accepts a change, which the first one reads from the platform.
  {
    name: 'read',
    run: async (context) => {
      const version = await acceptWeights(context.other, context.other.dataCentre).catch(() => 0);
      return { acceptedVersions: [version] };
    },
    checkResult: checkVersionReached,
  },
  // The first data centre accepts a change, which spreads to all daemons.
  {
    name: 'dissemination',
    run: async (context) => {
      const version = await acceptWeights(context.actor, context.actor.dataCentre).catch(() => 0);
      return { acceptedVersions: [version] };
    },
    checkResult: checkVersionReached,
  },
  // The log gets an invalid version, which no daemon may apply.
  {
    name: 'apply',
    run: async (context) => ({ badVersion: await runBadVersion(context) }),
    checkResult: checkBadVersionAbsent,
  },
  // A call without a held response is routed to an upstream.
  {
    name: 'route',
    run: async (context) => ({ call: await sendRecord(context) }),
    checkResult: checkCallCompleted,
  },
  // A call runs at most once; faults are injected while its idempotency key is claimed.
  {
    name: 'claim',
    prepare: (context, fault) => addPlatformDelay(context, fault, 'claim'),
    hasStarted: (context) => hasCalledPlatform(context, 'claim'),
    run: async (context) => {
      const key = createIdempotencyKey(Date.now(), random);
      return { idempotencyKey: key, call: await sendApproval(context, context.actor, key) };
    },
    checkResult: checkClaim,
  },
  // A call with a large request body; faults are injected while an upstream runs it.
  {
    name: 'send',
    prepare: holdResponses,
    hasStarted: hasReachedUpstream,
    run: async (context) => ({ call: await sendUpload(context) }),
    unblock: releaseResponses,
    checkResult: checkCallCompleted,
  },
  // A call with a large response body; faults are injected before the response is released.
  {
    name: 'answer',
    prepare: holdResponses,
    hasStarted: hasReachedUpstream,
    run: async (context) => ({ call: await sendRecord(context) }),
    unblock: releaseResponses,
    checkResult: checkCallCompleted,
  },
  // An operator drains a worker while a call is in flight.
  {
    name: 'drain',
    run: drainWorker,
    checkResult: checkWorkerDrained,
  },
  // A daemon is stopped gracefully while a call is in flight.
  {
    name: 'stop',
    prepare: holdResponses,
    hasStarted: hasReachedUpstream,
    run: stopDaemon,
    unblock: releaseResponses,
    checkResult: async (context, result, fault) => {
      if (fault.mustCompleteCalls) assert.equal(result.exitCode, 0, 'exit code of a graceful stop');
      await checkCallCompleted(context, result, fault);
    },
  },
];

/** Sends an admin request to a daemon that may be down; returns status 0 when there is no response. */
async function tryAdminRequest(
  send: () => ReturnType<typeof sendAdmin>,
): Promise<Awaited<ReturnType<typeof sendAdmin>>> {
  return send().catch(() => ({ status: 0, body: {} }));
}

async function planWeights(context: CellContext, host: Host): Promise<string | undefined> {
  const weights = { [context.actor.dataCentre]: 1 + random() };
  const response = await tryAdminRequest(() =>
    sendIntent(host, { type: 'setWeights', service: SERVICE, weights }, context.label),
  );
  return response.status === 201 ? (response.body as unknown as Plan).id : undefined;
}

async function createPlan(context: CellContext): Promise<void> {
  const planId = await planWeights(context, context.actor);
  assert.ok(planId !== undefined, 'the plan was refused before the fault');
  stepStates.set(context, { planId });
}

/** Delays platform calls under a key prefix, so that a fault can be injected while one is in flight. */
async function addPlatformDelay(
  context: CellContext,
  fault: MatrixFault,
  prefix: string,
): Promise<void> {
  if (!fault.isInjectedDuringStep) return;
  const { platform } = context.cluster;
  await platform.setFault({ mode: 'slow', delayMs: PLATFORM_DELAY_MS, keyPrefix: `${prefix}/` });
  const calls = (await platform.getCounts()).byPrefix[prefix] ?? 0;
  stepStates.set(context, { ...stepStates.get(context), calls });
}

/** Whether the platform received a call under the key prefix since the step was prepared. */
async function hasCalledPlatform(context: CellContext, prefix: string): Promise<boolean> {
  const { byPrefix } = await context.cluster.platform.getCounts();
  return (byPrefix[prefix] ?? 0) > (stepStates.get(context)?.calls ?? 0);
}

async function confirmPreparedPlan(context: CellContext): Promise<StepResult> {
  const planId = stepStates.get(context)?.planId ?? '';
  const response = await tryAdminRequest(() => confirmPlan(context.actor, planId, context.label));
  const versions = response.status === 200 ? [Number(response.body.version)] : [];
  return { planId, acceptedVersions: versions };
}

/** Confirms the plan again: it is applied once at most, and all responses name the same version. */
async function checkConfirmedOnce(context: CellContext, result: StepResult): Promise<void> {
  const planId = result.planId ?? '';
  const repeated = await confirmPlan(context.other, planId, context.label);
  const versions = [...(result.acceptedVersions ?? [])];
  if (repeated.status === 200) versions.push(Number(repeated.body.version));
  else
    assert.equal(
      repeated.body.kind,
      'PlanStale',
      `${repeated.status} ${JSON.stringify(repeated.body)}`,
    );
  const applied = await countInHistory(context, planId, versions[0]);
  assert.equal(
    new Set(versions).size,
    versions.length === 0 ? 0 : 1,
    `different versions for one plan: ${versions}`,
  );
  assert.equal(applied, versions.length === 0 ? 0 : 1, 'occurrences of the plan in the history');
}

/** Counts the plan's occurrences in the last entries of the history up to the version or the newest. */
async function countInHistory(
  { other }: CellContext,
  planId: string | undefined,
  version?: number,
): Promise<number> {
  if (planId === undefined) return 0;
  const newest = version ?? (await fetchStatus(other)).headVersion;
  const path = `/v1/history?before=${newest + 1}&limit=${HISTORY_LIMIT}`;
  const { body } = await waitUntil(() => readHistory(other, path), {
    what: `the history of ${other.id}`,
  });
  return JSON.stringify(body).split(JSON.stringify(planId)).length - 1;
}

/** Reads the history. Throws when the daemon refuses, as when its budget of platform calls is spent. */
async function readHistory(host: Host, path: string): ReturnType<typeof sendAdmin> {
  const response = await sendAdmin(host, 'GET', path);
  assert.equal(response.status, 200, JSON.stringify(response.body));
  return response;
}

/**
 * Checks that an accepted version was not lost: settling the cluster accepted another one, so every
 * daemon holds a later version.
 */
async function checkVersionReached(
  context: CellContext,
  { acceptedVersions: versions = [] }: StepResult,
): Promise<void> {
  const statuses = await Promise.all(context.cluster.hosts.map((host) => fetchStatus(host)));
  statuses.forEach(({ version }) => assert.ok(version > Math.max(...versions)));
}

/**
 * Writes the next version as a bad one. Returns that version when the platform responds with 200, or
 * with 503 because it takes no writes; 0 when neither happens within 5 s.
 */
async function runBadVersion({ cluster, other }: CellContext): Promise<number> {
  return waitUntil(
    async () => {
      const version = (await fetchStatus(other)).headVersion + 1;
      const status = await writeBadVersion(cluster, version);
      return status === 200 || status === 503 ? version : undefined;
    },
    { what: 'the bad version to be written', timeoutMs: STEP_TIMEOUT_MS },
  ).catch(() => 0);
}

async function checkBadVersionAbsent({ cluster }: CellContext): Promise<void> {
  const snapshots = await Promise.all(cluster.hosts.map((host) => fetchSnapshot(host)));
  snapshots.forEach(({ routes }) =>
    assert.ok(!(BAD_ROUTE in routes), 'a daemon applied a bad version'),
  );
}

/** Whether all hosts list the actor's worker as ready. */
async function isWorkerReady(hosts: readonly Host[], actor: Host): Promise<boolean> {
  const statuses = await Promise.all(hosts.map((host) => sendAdmin(host, 'GET', '/v1/status')));
  return statuses.every(({ body }) => {
    const members = body.members as { worker?: { name: string; state: string } }[];
    const found = members.find(({ worker }) => worker?.name === actor.worker?.name);
    return found?.worker?.state === 'ready';
  });
}

/** Sends a call through a daemon and keeps its request id for `hasReachedUpstream`. */
function sendThrough(
  context: CellContext,
  host: Host,
  spec: Omit<CallSpec, 'requestId' | 'signal'>,
): Promise<CallResult> {
  const requestId = context.createId();
  stepStates.set(context, { ...stepStates.get(context), requestId });
  return context.ledger.send(host, {
    ...spec,
    requestId,
    signal: AbortSignal.timeout(STEP_TIMEOUT_MS),
  });
}

function sendRecord(context: CellContext): Promise<CallResult> {
  const { Records } = MatrixPath;
  return sendThrough(context, context.actor, {
    method: 'GET',
    path: Records,
    answerBytes: 100_000,
  });
}

function sendUpload(context: CellContext): Promise<CallResult> {
  const body = Buffer.alloc(UPLOAD_SIZE_BYTES, context.label);
  return sendThrough(context, context.actor, { method: 'PUT', path: MatrixPath.Urgent, body });
}

function sendApproval(context: CellContext, host: Host, key: string): Promise<CallResult> {
  const spec = { method: 'POST', path: MatrixPath.Approvals, idempotencyKey: key } as const;
  return sendThrough(context, host, { ...spec, body: Buffer.from(key) });
}

/**
 * Resends the idempotency key: the response must state an outcome, and not `not-run` when the first
 * call completed. The ledger checks that the key ran once at most.
 */
async function checkClaim(context: CellContext, result: StepResult): Promise<void> {
  const repeated = await sendApproval(context, context.other, result.idempotencyKey ?? '');
  assert.ok(repeated.outcome !== undefined, `the resent key got no outcome: ${repeated.error}`);
  const ranBefore = result.call?.outcome === 'completed';
  if (ranBefore)
    assert.notEqual(repeated.outcome, 'not-run', 'a completed call is reported as not run');
}

async function holdResponses({ cluster }: CellContext): Promise<void> {
  await Promise.all(cluster.hosts.map((host) => host.commandUpstream({ isHolding: true })));
}

async function releaseResponses({ cluster }: CellContext): Promise<void> {
  const hosts = cluster.hosts.filter((host) => host.getUpstream().isRunning());
  await Promise.all(hosts.map((host) => host.commandUpstream({ isHolding: false })));
}

/** Whether an upstream began to run the cell's last request. */
async function hasReachedUpstream(context: CellContext): Promise<boolean> {
  const { requestId } = stepStates.get(context) ?? {};
  const isRun = (line: string): boolean => line.includes(` id=${requestId} `);
  return context.cluster.hosts.some((host) =>
    host.getUpstream().getLines().slice(-MAX_SCANNED_LINES).some(isRun),
  );
}

/** Checks that the step's call succeeded, unless the fault may break calls. */
async function checkCallCompleted(
  _: CellContext,
  { call }: StepResult,
  fault: MatrixFault,
): Promise<void> {
  if (!fault.mustCompleteCalls) return;
  assert.equal(call?.status, 200, `${call?.refusal ?? call?.error ?? call?.status}`);
}

async function drainWorker(context: CellContext): Promise<StepResult> {
  const worker = context.actor.worker?.name ?? '';
  const call = sendRecord(context);
  const planned = await tryAdminRequest(() =>
    sendIntent(
      context.actor,
      { type: 'drainWorker', worker, service: SERVICE, reason: context.label },
      context.label,
    ),
  );
  const planId = (planned.body as unknown as Plan).id;
  if (planned.status === 201)
    await tryAdminRequest(() => confirmPlan(context.actor, planId, context.label));
  return { planId, call: await call };
}

/** Checks that a worker whose drain is in force gets no calls, then removes the drain. */
async function checkWorkerDrained(
  context: CellContext,
  result: StepResult,
  fault: MatrixFault,
): Promise<void> {
  const { actor, cluster, other } = context;
  const worker = actor.worker?.name ?? '';
  const snapshot = await fetchSnapshot(other);
  if (!(worker in snapshot.drains)) return;
  const before = (await actor.collectRuns()).length;
  const calls = cluster.hosts.flatMap((host) => [host, host, host]);
  await Promise.all(
    calls.map((host) => sendThrough(context, host, { method: 'GET', path: MatrixPath.Records })),
  );
  assert.equal((await actor.collectRuns()).length, before, 'new calls at a drained worker');
  await checkCallCompleted(context, result, fault);
  const undrain = await sendIntent(other, { type: 'undrainWorker', worker }, context.label);
  await confirmPlan(other, (undrain.body as unknown as Plan).id, context.label);
  await settleCluster(cluster);
}

async function stopDaemon(context: CellContext): Promise<StepResult> {
  const call = sendRecord(context);
  await waitUntil(() => hasReachedUpstream(context), {
    what: 'the call to reach an upstream',
    timeoutMs: STEP_TIMEOUT_MS,
  }).catch(() => undefined);
  context.actor.getDaemon().signal('SIGTERM');
  const result = await call;
  const { code } = await context.actor.getDaemon().waitExit();
  return { call: result, exitCode: code };
}

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { waitMs } from '@cactusdeal/shared';
import { RolloutPhase } from '../../CactusdealRelayRolloutTypes.js';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import {
  answerOk,
  type RequestHandler,
  sendCall,
  startCluster,
  type TestCluster,
} from '../CactusdealRelayTestCluster.js';

const configuration = {
  ...buildConfiguration([buildRule({ idempotent: false })]),
  services: new Set(['records', 'desk']),
};
const answerFailed: RequestHandler = (request, response) => answerOk(request, response, 500);
const MAX_CALLS = 4_000;
/** Index of the host whose upstream has the new version. */
const TARGET = 4;

interface Case {
  readonly name: string;
  readonly serve: RequestHandler;
  readonly durationMs: number;
  readonly phase: RolloutPhase;
}

const cases: readonly Case[] = [
  {
    name: 'rolls back a version whose answers fail',
    serve: answerFailed,
    durationMs: 60_000,
    phase: RolloutPhase.RolledBack,
  },
  {
    name: 'brings a sound version into force before the deadline',
    serve: answerOk,
    durationMs: 4_000,
    phase: RolloutPhase.Succeeded,
  },
];

describe('a rollout over two data centres', () => {
  cases.forEach(({ name, serve, durationMs, phase }) => {
    it(name, { timeout: 40_000 }, async (context) => {
      const cluster = await startRollout(serve, durationMs);
      context.after(() => cluster.close());
      const { hosts, statuses } = cluster;
      const calls = await sendCallsUntil(
        cluster,
        () => statuses.get('records')?.phase === phase && hasLearnt(cluster, phase),
      );
      assert.equal(statuses.get('records')?.targetVersion, 'v2');
      const countTarget = (): number => hosts[TARGET]?.requests.length ?? 0;
      const exposed = countTarget();
      assert.ok(exposed <= calls / 10 + 50, `${exposed} of ${calls} calls`);
      for (let index = 0; index < 20; index += 1)
        await sendCall(hosts[index % 4] as (typeof hosts)[number], { id: `l${index}` });
      const expected = phase === RolloutPhase.Succeeded ? 20 : 0;
      assert.equal(countTarget() - exposed, expected, 'calls to the new version afterwards');
    });
  });
});

/** Starts four hosts with the old version and one with the new one, and orders the new one. */
async function startRollout(serve: RequestHandler, durationMs: number): Promise<TestCluster> {
  const services = ['records', 'records', 'records', 'records', 'records'];
  const cluster = await startCluster(configuration, services, undefined, (index) =>
    index % 2 === 0 ? 'west' : 'east',
  );
  cluster.order({ service: 'records', targetVersion: 'v2', durationMs });
  cluster.hosts.forEach((testHost, index) => {
    const host = testHost;
    if (index === TARGET) host.serve = serve;
    host.sendHeartbeat({ softwareVersion: index === TARGET ? 'v2' : 'v1', capacity: 8 });
  });
  return cluster;
}

async function sendCallsUntil(
  { hosts }: TestCluster,
  isReached: () => Promise<boolean> | boolean,
): Promise<number> {
  for (let index = 0; index < MAX_CALLS; index += 1) {
    if (await isReached()) return index;
    await sendCall(hosts[index % 4] as (typeof hosts)[number], { id: `c${index}` });
    await waitMs(1);
  }
  throw new Error(`not within ${MAX_CALLS} calls`);
}

async function hasLearnt({ hosts }: TestCluster, phase: RolloutPhase): Promise<boolean> {
  const texts = await Promise.all(hosts.map(({ relay }) => relay.metrics.render()));
  return texts.every((text) => text.includes(`phase="${phase}",stored="true"`));
}

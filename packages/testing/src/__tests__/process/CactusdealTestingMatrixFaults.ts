import assert from 'node:assert/strict';
import { waitMs } from '@cactusdeal/shared';
import { FaultDirection, type Host, sendAdmin, waitUntil } from '../../index.js';
import { acceptWeights, DATA_CENTRES, MatrixPath } from './CactusdealTestingMatrixCluster.js';
import type { CellContext, MatrixFault } from './CactusdealTestingMatrixTypes.js';

const [FIRST, SECOND] = DATA_CENTRES;
const CRASHING_BODY = 'poison';
const MAX_CRASHES_PER_DATA_CENTRE = 2;

/** For each cell, the function that ends the background work of its fault. */
const stopFunctions = new WeakMap<CellContext, () => Promise<void>>();

/** All faults of the matrix. `npm run fault-matrix` selects cells by their names. */
export const MATRIX_FAULTS: readonly MatrixFault[] = [
  {
    ...{
      name: 'daemons die in a herd and return at once',
      isInjectedDuringStep: true,
      mustCompleteCalls: false,
    },
    inject: async ({ cluster }) => {
      const killedHosts = cluster.hosts.filter((_, index) => index % 3 !== 2);
      await Promise.all(killedHosts.map((host) => host.getDaemon().kill()));
    },
    heal: async () => {},
  },
  {
    ...{ name: 'the daemon dies', isInjectedDuringStep: true, mustCompleteCalls: false },
    inject: async ({ actor }) => {
      await actor.getDaemon().kill();
    },
    heal: async () => {},
  },
  {
    ...{ name: 'the upstream dies', isInjectedDuringStep: true, mustCompleteCalls: false },
    inject: async ({ actor }) => {
      await actor.getUpstream().kill();
    },
    heal: async () => {},
  },
  {
    ...{ name: 'the daemon pauses', isInjectedDuringStep: true, mustCompleteCalls: false },
    inject: async ({ actor }) => actor.getDaemon().pause(),
    heal: async ({ actor }) => actor.getDaemon().resume(),
  },
  {
    ...{
      name: 'the lease of a paused reader lapses',
      isInjectedDuringStep: false,
      mustCompleteCalls: true,
    },
    inject: async ({ cluster, reader }) => {
      reader.getDaemon().pause();
      await waitUntil(() => hasOtherReader(cluster.listHosts(FIRST), reader), {
        what: 'another daemon to become the reader',
      });
    },
    heal: async ({ reader }) => reader.getDaemon().resume(),
  },
  {
    ...{ name: 'the platform is down', isInjectedDuringStep: false, mustCompleteCalls: true },
    inject: ({ cluster }) => cluster.platform.setFault({ mode: 'down' }),
    heal: ({ cluster }) => cluster.platform.heal(),
  },
  {
    ...{ name: 'the platform is silent', isInjectedDuringStep: false, mustCompleteCalls: true },
    inject: ({ cluster }) => cluster.platform.setFault({ mode: 'silent' }),
    heal: ({ cluster }) => cluster.platform.heal(),
  },
  {
    ...{ name: 'the platform is slow', isInjectedDuringStep: false, mustCompleteCalls: true },
    inject: ({ cluster }) => cluster.platform.setFault({ mode: 'slow', delayMs: 300 }),
    heal: ({ cluster }) => cluster.platform.heal(),
  },
  {
    ...{ name: 'the platform loses answers', isInjectedDuringStep: false, mustCompleteCalls: true },
    inject: ({ cluster }) => cluster.platform.setFault({ mode: 'loseAnswer' }),
    heal: ({ cluster }) => cluster.platform.heal(),
  },
  {
    ...{ name: 'two operators race', isInjectedDuringStep: false, mustCompleteCalls: true },
    inject: async (context) => startBackgroundWork(context, runRivalOperator),
    heal: stopBackgroundWork,
  },
  {
    ...{ name: 'updates cross on the way', isInjectedDuringStep: false, mustCompleteCalls: true },
    inject: async (context) => {
      const links = context.cluster.listLinks(FIRST, SECOND);
      links.forEach((link, index) => link.setDelay(1 + 15 * (index % 4)));
      startBackgroundWork(context, runRivalOperator);
    },
    heal: async (context) => {
      await stopBackgroundWork(context);
      context.cluster.listLinks(FIRST, SECOND).forEach((link) => link.setDelay(3));
    },
  },
  {
    ...{
      name: 'a flood of the least urgent work',
      isInjectedDuringStep: false,
      mustCompleteCalls: true,
    },
    inject: async (context) => startBackgroundWork(context, runFlood(MatrixPath.Photographs)),
    heal: stopBackgroundWork,
  },
  {
    ...{
      name: 'a flood of the most urgent work',
      isInjectedDuringStep: false,
      mustCompleteCalls: true,
    },
    inject: async (context) => startBackgroundWork(context, runFlood(MatrixPath.Urgent)),
    heal: stopBackgroundWork,
  },
  {
    ...{
      name: 'a request crashes each upstream',
      isInjectedDuringStep: false,
      mustCompleteCalls: false,
    },
    inject: async (context) => startBackgroundWork(context, runCrashingRequests),
    heal: stopBackgroundWork,
  },
  {
    ...{ name: 'open connections go silent', isInjectedDuringStep: true, mustCompleteCalls: false },
    inject: async ({ cluster }) => {
      cluster.links.forEach(({ proxy }) => proxy.silenceOpenConnections());
      cluster.hosts.forEach(({ upstreamLink }) => upstreamLink.silenceOpenConnections());
    },
    heal: async () => {},
  },
  {
    ...{
      name: 'the data centre is cut off from the platform',
      isInjectedDuringStep: true,
      mustCompleteCalls: true,
    },
    inject: async ({ cluster }) => {
      cluster.listLinks(FIRST, 'platform').forEach((link) => link.cut(FaultDirection.Both));
    },
    heal: removeLinkFaults,
  },
  {
    ...{
      name: 'the data centres are cut off from each other',
      isInjectedDuringStep: true,
      mustCompleteCalls: false,
    },
    inject: async ({ cluster }) => {
      cluster.listLinks(FIRST, SECOND).forEach((link) => link.cut(FaultDirection.Both));
    },
    heal: removeLinkFaults,
  },
  {
    ...{ name: 'links lose one direction', isInjectedDuringStep: true, mustCompleteCalls: false },
    inject: async ({ cluster }) => {
      const links = [...cluster.listLinks(FIRST, SECOND), ...cluster.listLinks(FIRST, 'platform')];
      links.forEach((link) => link.cut(FaultDirection.Backward));
    },
    heal: removeLinkFaults,
  },
];

type BackgroundWork = (context: CellContext, signal: AbortSignal) => Promise<void>;

function startBackgroundWork(context: CellContext, work: BackgroundWork): void {
  const stop = new AbortController();
  const task = work(context, stop.signal);
  // A rejection is handled when the work is stopped, which awaits the task.
  task.catch(() => {});
  stopFunctions.set(context, async () => {
    stop.abort();
    await task;
  });
}

async function stopBackgroundWork(context: CellContext): Promise<void> {
  await stopFunctions.get(context)?.();
}

/** Heals the links between data centres and to the platform, but not those to upstreams. */
async function removeLinkFaults({ cluster }: CellContext): Promise<void> {
  cluster.links.forEach(({ proxy }) => proxy.heal());
}

/** Whether a daemon other than the given one reports that it reads the platform. */
async function hasOtherReader(hosts: readonly Host[], reader: Host): Promise<boolean> {
  const others = hosts.filter((host) => host !== reader);
  const responses = await Promise.all(others.map((host) => sendAdmin(host, 'GET', '/v1/status')));
  return responses.some(({ body }) => body.isReader === true);
}

/** Plays a second operator, who keeps changing weights of the service that the step changes. */
async function runRivalOperator({ cluster }: CellContext, signal: AbortSignal): Promise<void> {
  for (let round = 0; !signal.aborted; round += 1) {
    const hosts = cluster.listHosts(SECOND);
    const host = hosts[round % hosts.length] as Host;
    await acceptWeights(host, SECOND).catch(() => undefined);
    await waitMs(20, signal);
  }
}

/**
 * Sends calls at about four times the capacity of the upstreams: 250 calls a second of 400 ms each
 * need 100 slots, and the upstreams have 24.
 */
function runFlood(path: string): BackgroundWork {
  return async (context, signal) => {
    const calls: Promise<unknown>[] = [];
    for (let round = 0; !signal.aborted; round += 1) {
      const host = context.cluster.hosts[round % context.cluster.hosts.length] as Host;
      calls.push(
        context.ledger.send(host, {
          requestId: context.createId(),
          ...{ method: 'PUT', path, serviceMs: 400, body: Buffer.from(String(round)) },
          signal: AbortSignal.timeout(5000),
        }),
      );
      await waitMs(4, signal);
    }
    await Promise.all(calls);
  };
}

/**
 * Repeats a request that crashes any upstream running it, and restarts crashed upstreams, as a host's
 * supervisor would. Rejects when more than two upstreams of one data centre crashed.
 */
async function runCrashingRequests(context: CellContext, signal: AbortSignal): Promise<void> {
  const { cluster } = context;
  const crashes = new Map<string, number>();
  // An upstream that the step is restarting just now misses this; it is set after its next start.
  await Promise.all(
    cluster.hosts.map((host) =>
      host.commandUpstream({ crashBody: CRASHING_BODY }).catch(() => undefined),
    ),
  );
  for (let round = 0; round < 8 || !signal.aborted; round += 1) {
    await context.ledger.send(cluster.hosts[round % cluster.hosts.length] as Host, {
      requestId: context.createId(),
      ...{ method: 'PUT', path: MatrixPath.Photographs, body: Buffer.from(CRASHING_BODY) },
      signal: AbortSignal.timeout(5000),
    });
    await Promise.all(cluster.hosts.map((host) => startCrashedUpstream(host, crashes)));
  }
  crashes.forEach((count, dataCentre) => {
    assert.ok(count <= MAX_CRASHES_PER_DATA_CENTRE, `${count} upstreams crashed in ${dataCentre}`);
  });
}

/** Counts and restarts the host's upstream if it has exited. */
async function startCrashedUpstream(host: Host, crashes: Map<string, number>): Promise<void> {
  if (host.getUpstream().isRunning()) return;
  crashes.set(host.dataCentre, (crashes.get(host.dataCentre) ?? 0) + 1);
  // The step may start it at the same time; only one of the two processes can listen on the address.
  await host.startUpstream().catch(() => undefined);
  // It may crash again before the request arrives; then the next round restarts it.
  await host.commandUpstream({ crashBody: CRASHING_BODY }).catch(() => undefined);
}

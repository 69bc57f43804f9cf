import assert from 'node:assert/strict';
import { waitMs } from '@cactusdeal/shared';
import { FaultDirection, type Host, sendAdmin, waitUntil } from '../../index.js';
import { acceptWeights, DATA_CENTRES, MatrixPath } from './CactusdealTestingMatrixCluster.js';
import type { CellContext, MatrixFault } from './CactusdealTestingMatrixTypes.js';

const [FIRST, SECOND] = DATA_CENTRES;
const POISON = 'poison';
const MAX_CRASHES = 2;

/** Work that a fault does until it is healed, by cell. */
const running = new WeakMap<CellContext, () => Promise<void>>();

/** Every fault that the brief names. */
export const MATRIX_FAULTS: readonly MatrixFault[] = [
  {
    ...{ name: 'daemons die in a herd and return at once', isMidway: true, keepsCalls: false },
    inject: async ({ cluster }) => {
      const herd = cluster.hosts.filter((_, index) => index % 3 !== 2);
      await Promise.all(herd.map((host) => host.getDaemon().kill()));
    },
    heal: async () => {},
  },
  {
    ...{ name: 'the daemon dies', isMidway: true, keepsCalls: false },
    inject: async ({ actor }) => {
      await actor.getDaemon().kill();
    },
    heal: async () => {},
  },
  {
    ...{ name: 'the upstream dies', isMidway: true, keepsCalls: false },
    inject: async ({ actor }) => {
      await actor.getUpstream().kill();
    },
    heal: async () => {},
  },
  {
    ...{ name: 'the daemon pauses', isMidway: true, keepsCalls: false },
    inject: async ({ actor }) => actor.getDaemon().pause(),
    heal: async ({ actor }) => actor.getDaemon().resume(),
  },
  {
    ...{ name: 'the lease of a paused reader lapses', isMidway: false, keepsCalls: true },
    inject: async ({ cluster, reader }) => {
      reader.getDaemon().pause();
      await waitUntil(() => isReplaced(cluster.listHosts(FIRST), reader), {
        what: 'another reader',
      });
    },
    heal: async ({ reader }) => reader.getDaemon().resume(),
  },
  {
    ...{ name: 'the platform is down', isMidway: false, keepsCalls: true },
    inject: ({ cluster }) => cluster.platform.setFault({ mode: 'down' }),
    heal: ({ cluster }) => cluster.platform.heal(),
  },
  {
    ...{ name: 'the platform is silent', isMidway: false, keepsCalls: true },
    inject: ({ cluster }) => cluster.platform.setFault({ mode: 'silent' }),
    heal: ({ cluster }) => cluster.platform.heal(),
  },
  {
    ...{ name: 'the platform is slow', isMidway: false, keepsCalls: true },
    inject: ({ cluster }) => cluster.platform.setFault({ mode: 'slow', delayMs: 300 }),
    heal: ({ cluster }) => cluster.platform.heal(),
  },
  {
    ...{ name: 'the platform loses answers', isMidway: false, keepsCalls: true },
    inject: ({ cluster }) => cluster.platform.setFault({ mode: 'loseAnswer' }),
    heal: ({ cluster }) => cluster.platform.heal(),
  },
  {
    ...{ name: 'two operators race', isMidway: false, keepsCalls: true },
    inject: async (context) => startWork(context, runRival),
    heal: stopWork,
  },
  {
    ...{ name: 'updates cross on the way', isMidway: false, keepsCalls: true },
    inject: async (context) => {
      const links = context.cluster.listLinks(FIRST, SECOND);
      links.forEach((link, index) => link.setDelay(1 + 15 * (index % 4)));
      startWork(context, runRival);
    },
    heal: async (context) => {
      await stopWork(context);
      context.cluster.listLinks(FIRST, SECOND).forEach((link) => link.setDelay(3));
    },
  },
  {
    ...{ name: 'a flood of the least urgent work', isMidway: false, keepsCalls: true },
    inject: async (context) => startWork(context, runFlood(MatrixPath.Photographs)),
    heal: stopWork,
  },
  {
    ...{ name: 'a flood of the most urgent work', isMidway: false, keepsCalls: true },
    inject: async (context) => startWork(context, runFlood(MatrixPath.Urgent)),
    heal: stopWork,
  },
  {
    ...{ name: 'a request crashes each upstream', isMidway: false, keepsCalls: false },
    inject: async (context) => startWork(context, runPoison),
    heal: stopWork,
  },
  {
    ...{ name: 'open connections go silent', isMidway: true, keepsCalls: false },
    inject: async ({ cluster }) => {
      cluster.links.forEach(({ proxy }) => proxy.goSilent());
      cluster.hosts.forEach(({ upstreamLink }) => upstreamLink.goSilent());
    },
    heal: async () => {},
  },
  {
    ...{ name: 'the data centre is cut off from the platform', isMidway: true, keepsCalls: true },
    inject: async ({ cluster }) => {
      cluster.listLinks(FIRST, 'platform').forEach((link) => link.cut(FaultDirection.Both));
    },
    heal: removeLinkFaults,
  },
  {
    ...{ name: 'the data centres are cut off from each other', isMidway: true, keepsCalls: false },
    inject: async ({ cluster }) => {
      cluster.listLinks(FIRST, SECOND).forEach((link) => link.cut(FaultDirection.Both));
    },
    heal: removeLinkFaults,
  },
  {
    ...{ name: 'links lose one direction', isMidway: true, keepsCalls: false },
    inject: async ({ cluster }) => {
      const links = [...cluster.listLinks(FIRST, SECOND), ...cluster.listLinks(FIRST, 'platform')];
      links.forEach((link) => link.cut(FaultDirection.Backward));
    },
    heal: removeLinkFaults,
  },
];

type Work = (context: CellContext, signal: AbortSignal) => Promise<void>;

function startWork(context: CellContext, work: Work): void {
  const stop = new AbortController();
  const task = work(context, stop.signal);
  // The failure is reported when the work is stopped.
  task.catch(() => {});
  running.set(context, async () => {
    stop.abort();
    await task;
  });
}

async function stopWork(context: CellContext): Promise<void> {
  await running.get(context)?.();
}

async function removeLinkFaults({ cluster }: CellContext): Promise<void> {
  cluster.links.forEach(({ proxy }) => proxy.heal());
}

async function isReplaced(hosts: readonly Host[], reader: Host): Promise<boolean> {
  const others = hosts.filter((host) => host !== reader);
  const answers = await Promise.all(others.map((host) => sendAdmin(host, 'GET', '/v1/status')));
  return answers.some(({ body }) => body.isReader === true);
}

/** Another operator, who changes the same thing again and again. */
async function runRival({ cluster }: CellContext, signal: AbortSignal): Promise<void> {
  for (let turn = 0; !signal.aborted; turn += 1) {
    const hosts = cluster.listHosts(SECOND);
    const host = hosts[turn % hosts.length] as Host;
    await acceptWeights(host, SECOND).catch(() => undefined);
    await waitMs(20, signal);
  }
}

/** About four times what the upstreams can take. */
function runFlood(path: string): Work {
  return async (context, signal) => {
    const calls: Promise<unknown>[] = [];
    for (let turn = 0; !signal.aborted; turn += 1) {
      const host = context.cluster.hosts[turn % context.cluster.hosts.length] as Host;
      calls.push(
        context.ledger.send(host, {
          requestId: context.createId(),
          ...{ method: 'PUT', path, serviceMs: 400, body: Buffer.from(String(turn)) },
          signal: AbortSignal.timeout(5000),
        }),
      );
      await waitMs(4, signal);
    }
    await Promise.all(calls);
  };
}

/** Sends one request again and again; crashed upstreams are started anew, as on a real host. */
async function runPoison(context: CellContext, signal: AbortSignal): Promise<void> {
  const { cluster } = context;
  const crashes = new Map<string, number>();
  // The step may be starting an upstream anew just now; it is commanded after its next start.
  await Promise.all(
    cluster.hosts.map((host) => host.commandUpstream({ crashBody: POISON }).catch(() => undefined)),
  );
  for (let turn = 0; turn < 8 || !signal.aborted; turn += 1) {
    await context.ledger.send(cluster.hosts[turn % cluster.hosts.length] as Host, {
      requestId: context.createId(),
      ...{ method: 'PUT', path: MatrixPath.Photographs, body: Buffer.from(POISON) },
      signal: AbortSignal.timeout(5000),
    });
    await Promise.all(cluster.hosts.map((host) => startCrashed(host, crashes)));
  }
  crashes.forEach((count, dataCentre) => {
    assert.ok(count <= MAX_CRASHES, `${count} upstreams crashed in ${dataCentre}`);
  });
}

async function startCrashed(host: Host, crashes: Map<string, number>): Promise<void> {
  if (host.getUpstream().isRunning()) return;
  crashes.set(host.dataCentre, (crashes.get(host.dataCentre) ?? 0) + 1);
  // The step may start it at the same time; one of the two gets the address.
  await host.startUpstream().catch(() => undefined);
  // It may crash again before it takes the command; the next turn starts it anew.
  await host.commandUpstream({ crashBody: POISON }).catch(() => undefined);
}

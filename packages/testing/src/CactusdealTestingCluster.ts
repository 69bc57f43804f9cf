import { mkdtemp, rm } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import type { DaemonSettings } from '@cactusdeal/schema';
import { invariant } from '@cactusdeal/shared';
import { isClusterReady } from './CactusdealTestingAdmin.js';
import type {
  Cluster,
  ClusterLink,
  ClusterSpec,
  Host,
  WorkerSpec,
} from './CactusdealTestingClusterTypes.js';
import { type FaultProxy, startFaultProxy } from './CactusdealTestingFaultProxy.js';
import { createHost } from './CactusdealTestingHost.js';
import { type PlatformProcess, startPlatformProcess } from './CactusdealTestingPlatform.js';
import { findFreePorts } from './CactusdealTestingPorts.js';
import { waitUntil } from './CactusdealTestingWait.js';

const MAX_LOCAL_CONTACTS = 3;
const CONTACTS_PER_REMOTE_DATA_CENTRE = 2;
const PORTS_PER_HOST = 4;
const READY_TIMEOUT_MS = 30_000;
/** Value of `from` of a link that all data centres other than its target share. */
const ALL_OTHER_DATA_CENTRES = '*';

/** Listen addresses and ports chosen for a host that is not started yet. */
interface PlannedHost {
  readonly id: string;
  readonly dataCentre: string;
  readonly worker: WorkerSpec | undefined;
  readonly mesh: string;
  readonly calls: string;
  readonly admin: string;
  readonly upstreamPort: number;
}

/**
 * Starts the platform stand-in, the daemons and the upstream stand-ins, with a fault proxy on every
 * link between data centres, to the platform and to an upstream. Resolves when all daemons are ready.
 */
export async function startCluster(spec: ClusterSpec): Promise<Cluster> {
  const platform = await startPlatformProcess();
  const planned = await planHosts(spec);
  const links = await startLinks(spec, planned, platform);
  const directory = await mkdtemp(path.join(os.tmpdir(), 'cactusdeal-'));
  const hosts = await Promise.all(
    planned.map(({ worker, upstreamPort, ...host }) =>
      createHost({
        settings: buildSettings(spec, { ...host, worker, upstreamPort }, planned, links),
        worker,
        upstreamPort,
        directory,
      }),
    ),
  );
  const cluster = buildCluster(platform, hosts, links, directory);
  await startHosts(cluster);
  return cluster;
}

async function planHosts(spec: ClusterSpec): Promise<PlannedHost[]> {
  const count = spec.dataCentres.reduce((sum, { workers }) => sum + workers.length, 0);
  const ports = await findFreePorts(count * PORTS_PER_HOST);
  const takePort = (): number => {
    const port = ports.pop();
    invariant(port !== undefined, `found fewer than ${count * PORTS_PER_HOST} free ports`);
    return port;
  };
  return spec.dataCentres.flatMap(({ name, workers }) =>
    workers.map((worker, index) => ({
      id: `${name}-${index + 1}`,
      dataCentre: name,
      worker,
      mesh: `127.0.0.1:${takePort()}`,
      calls: `127.0.0.1:${takePort()}`,
      admin: `127.0.0.1:${takePort()}`,
      upstreamPort: takePort(),
    })),
  );
}

/** A link whose fault proxy is not started yet. */
interface PlannedLink extends Omit<ClusterLink, 'proxy'> {
  readonly target: string;
}

async function startLinks(
  spec: ClusterSpec,
  planned: readonly PlannedHost[],
  platform: PlatformProcess,
): Promise<ClusterLink[]> {
  const names = spec.dataCentres.map(({ name }) => name);
  const links: PlannedLink[] = [
    ...names.map((from) => ({
      ...{ from, to: 'platform', kind: 'platform' as const },
      target: platform.address,
    })),
    ...names.flatMap((from) => planRemoteContactLinks(from, planned)),
    ...planned.flatMap(planAdvertisedLinks),
  ];
  return Promise.all(
    links.map(async (link) => {
      const proxy = await startFaultProxy({ target: link.target });
      if (link.kind !== 'platform') proxy.setDelay(spec.delayMs ?? 0);
      return { ...link, proxy };
    }),
  );
}

/** Plans mesh links from one data centre to the contact hosts of every other one. */
function planRemoteContactLinks(from: string, planned: readonly PlannedHost[]): PlannedLink[] {
  const others = planned.filter((host) => host.dataCentre !== from);
  const contacts = others.filter((host) =>
    isAmongFirst(host, planned, CONTACTS_PER_REMOTE_DATA_CENTRE),
  );
  return contacts.map((host) => ({
    ...{ from, to: host.dataCentre, kind: 'mesh' as const },
    target: host.mesh,
  }));
}

/** Plans the links behind the mesh and calls addresses that a host advertises to other data centres. */
function planAdvertisedLinks(host: PlannedHost): PlannedLink[] {
  const common = { from: ALL_OTHER_DATA_CENTRES, to: host.dataCentre };
  return [
    { ...common, kind: 'mesh', target: host.mesh },
    { ...common, kind: 'calls', target: host.calls },
  ];
}

/** Whether the host is one of the first `count` hosts of its data centre. */
function isAmongFirst(host: PlannedHost, planned: readonly PlannedHost[], count: number): boolean {
  const siblings = planned.filter(({ dataCentre }) => dataCentre === host.dataCentre);
  return siblings.indexOf(host) < count;
}

function buildSettings(
  spec: ClusterSpec,
  host: PlannedHost,
  planned: readonly PlannedHost[],
  links: readonly ClusterLink[],
): DaemonSettings {
  const { id, dataCentre, mesh, calls, admin } = host;
  const siblings = planned.filter((other) => other.dataCentre === dataCentre && other !== host);
  const findLinkAddress = (from: string, kind: ClusterLink['kind'], target: string): string => {
    const found = links.find(
      (item) => item.from === from && item.kind === kind && item.target === target,
    );
    invariant(found !== undefined, `no ${kind} link from ${from} to ${target}`);
    return found.proxy.address;
  };
  const platform = links.find(({ from, kind }) => from === dataCentre && kind === 'platform');
  return {
    ...spec.settings,
    ...{ cluster: spec.name, dataCentre, id },
    listen: { mesh, calls, admin },
    advertise: {
      mesh: findLinkAddress(ALL_OTHER_DATA_CENTRES, 'mesh', mesh),
      calls: findLinkAddress(ALL_OTHER_DATA_CENTRES, 'calls', calls),
    },
    platform: { ...spec.settings?.platform, url: `http://${platform?.proxy.address}` },
    mesh: {
      ...spec.settings?.mesh,
      contacts: siblings.slice(0, MAX_LOCAL_CONTACTS).map((other) => other.mesh),
      remoteContacts: listRemoteContacts(dataCentre, links),
    },
  };
}

/** Lists the mesh addresses through which a data centre contacts the other ones, by data centre. */
function listRemoteContacts(from: string, links: readonly ClusterLink[]): Record<string, string[]> {
  const outgoing = links.filter((link) => link.from === from && link.kind === 'mesh');
  const contacts: Record<string, string[]> = {};
  outgoing.forEach(({ to, proxy }) => {
    contacts[to] = [...(contacts[to] ?? []), proxy.address];
  });
  return contacts;
}

function buildCluster(
  platform: PlatformProcess,
  hosts: readonly Host[],
  links: readonly ClusterLink[],
  directory: string,
): Cluster {
  return {
    platform,
    hosts,
    links,
    findHost: (id) => {
      const host = hosts.find((item) => item.id === id);
      invariant(host !== undefined, `the cluster has no host ${id}`);
      return host;
    },
    listHosts: (dataCentre) => hosts.filter((host) => host.dataCentre === dataCentre),
    listLinks: (one, other) => links.filter((link) => isBetween(link, one, other)).map(toProxy),
    heal: async () => {
      links.forEach(({ proxy }) => proxy.heal());
      hosts.forEach(({ upstreamLink }) => upstreamLink.heal());
      await platform.heal();
    },
    close: async () => {
      await Promise.all(hosts.map((host) => host.close()));
      await platform.process.kill();
      await Promise.all(links.map(({ proxy }) => proxy.close()));
      await rm(directory, { recursive: true });
    },
  };
}

function toProxy({ proxy }: ClusterLink): FaultProxy {
  return proxy;
}

function isBetween({ from, to }: ClusterLink, one: string, other: string): boolean {
  if (from === ALL_OTHER_DATA_CENTRES) return to === one || to === other;
  return (from === one && to === other) || (from === other && to === one);
}

/** Starts all daemons and upstreams; closes the cluster when one of them does not start. */
async function startHosts(cluster: Cluster): Promise<void> {
  try {
    await Promise.all(cluster.hosts.map((host) => host.startDaemon()));
    const withUpstream = cluster.hosts.filter(({ worker }) => worker !== undefined);
    await Promise.all(withUpstream.map((host) => host.startUpstream()));
    await waitUntil(() => isClusterReady(cluster.hosts), {
      what: 'all daemons ready',
      timeoutMs: READY_TIMEOUT_MS,
    });
  } catch (caught) {
    await cluster.close();
    throw caught;
  }
}

import { writeFile } from 'node:fs/promises';
import path from 'node:path';
import type { DaemonSettings } from '@cactusdeal/schema';
import { invariant } from '@cactusdeal/shared';
import { stringify } from 'smol-toml';
import { request } from 'undici';
import type { Host, RunRecord, WorkerSpec } from './CactusdealTestingClusterTypes.js';
import { type FaultProxy, startFaultProxy } from './CactusdealTestingFaultProxy.js';
import { type ManagedProcess, parseFields, startProcess } from './CactusdealTestingProcess.js';
import { resolveScript } from './CactusdealTestingScripts.js';
import type { UpstreamBehaviour, UpstreamReport } from './CactusdealTestingUpstreamTypes.js';

/** Settings, upstream and addresses of a host. */
export interface HostOptions {
  readonly settings: DaemonSettings;
  readonly worker: WorkerSpec | undefined;
  /** Port of 127.0.0.1 on which the upstream listens. */
  readonly upstreamPort: number;
  /** Directory in which the daemon's settings file is written. */
  readonly directory: string;
}

interface HostState {
  daemon: ManagedProcess | undefined;
  /** All upstream processes that this host has started, the newest last. */
  readonly upstreams: ManagedProcess[];
}

/** Prefix of the line that the upstream stand-in prints when it begins to run a request. */
const RUN_PREFIX = 'run ';

/** Writes the settings file and starts the upstream's proxy, but neither daemon nor upstream. */
export async function createHost(options: HostOptions): Promise<Host> {
  const { settings, worker } = options;
  const id = settings.id ?? settings.listen.mesh;
  const file = path.join(options.directory, `${id}.toml`);
  await writeFile(file, stringify(settings));
  const upstreamLink = await startFaultProxy({
    target: `127.0.0.1:${options.upstreamPort}`,
    stopsWithTarget: true,
  });
  const state: HostState = { daemon: undefined, upstreams: [] };
  return {
    id,
    dataCentre: settings.dataCentre,
    worker,
    adminAddress: settings.listen.admin,
    callsAddress: settings.listen.calls,
    upstreamLink,
    ...listProcessMethods(state, options, file, upstreamLink),
    ...listUpstreamMethods(state),
    close: async () => {
      const processes = [state.daemon, ...state.upstreams];
      await Promise.all(processes.map((process) => process?.kill()));
      await upstreamLink.close();
    },
  };
}

type ProcessMethods = Pick<Host, 'getDaemon' | 'getUpstream' | 'startDaemon' | 'startUpstream'>;

function listProcessMethods(
  state: HostState,
  options: HostOptions,
  file: string,
  upstreamLink: FaultProxy,
): ProcessMethods {
  return {
    getDaemon: () => {
      invariant(state.daemon !== undefined, `the daemon with ${file} was not started`);
      return state.daemon;
    },
    getUpstream: () => getNewest(state),
    startDaemon: async () => {
      const daemon = await startProcess({
        name: options.settings.id ?? file,
        script: resolveScript('daemon', 'CactusdealDaemonMain.js'),
        args: ['--settings', file],
      });
      Object.assign(state, { daemon });
    },
    startUpstream: async () => {
      await upstreamLink.startListening();
      state.upstreams.push(await startUpstreamProcess(options, upstreamLink.address));
    },
  };
}

function getNewest(state: HostState): ManagedProcess {
  const newest = state.upstreams.at(-1);
  invariant(newest !== undefined, 'the upstream was not started');
  return newest;
}

function startUpstreamProcess(
  options: HostOptions,
  announcedAddress: string,
): Promise<ManagedProcess> {
  const { settings, worker, upstreamPort } = options;
  invariant(worker !== undefined, `host ${settings.id ?? settings.listen.mesh} has no upstream`);
  const flags: Record<string, string | number> = {
    listen: `127.0.0.1:${upstreamPort}`,
    name: worker.name,
    services: worker.services.join(','),
    slots: worker.slots,
    admin: settings.listen.admin,
    'announced-address': announcedAddress,
    'service-ms': worker.serviceMs ?? 5,
    'cold-ms': worker.coldMs ?? 0,
  };
  return startProcess({
    name: worker.name,
    script: resolveScript('testing', 'CactusdealTestingUpstreamMain.js'),
    args: Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]),
  });
}

type UpstreamMethods = Pick<Host, 'commandUpstream' | 'collectRuns' | 'fetchRecords'>;

function listUpstreamMethods(state: HostState): UpstreamMethods {
  const getUrl = (): string => `http://${getNewest(state).ready.address}`;
  const fetchReport = async (): Promise<UpstreamReport> => {
    const { body } = await request(`${getUrl()}/control/records`);
    return (await body.json()) as UpstreamReport;
  };
  return {
    commandUpstream: async (change: Partial<UpstreamBehaviour>) => {
      const { body } = await request(`${getUrl()}/control`, {
        method: 'POST',
        body: JSON.stringify(change),
      });
      await body.dump();
    },
    fetchRecords: async () => (await fetchReport()).records,
    collectRuns: async () => {
      const printed = state.upstreams.flatMap(readRuns);
      const newest = state.upstreams.at(-1);
      if (newest?.isRunning() !== true) return printed;
      // Printed lines of a running process may not have arrived yet; its own records are complete.
      const earlier = state.upstreams.slice(0, -1).flatMap(readRuns);
      const { name, records } = await fetchReport();
      return [...earlier, ...records.map((record) => toRun(name, record))];
    },
  };
}

/** Parses the runs that an upstream process has printed. */
function readRuns(process: ManagedProcess): RunRecord[] {
  const lines = process.getLines().filter((line) => line.startsWith(RUN_PREFIX));
  return lines.map(parseFields).map((fields) => ({
    worker: fields.worker ?? '',
    requestId: fields.id ?? '',
    idempotencyKey: fields.key ?? '',
    path: fields.path ?? '',
  }));
}

function toRun(worker: string, record: UpstreamReport['records'][number]): RunRecord {
  const { requestId, path: requestPath, idempotencyKey = '' } = record;
  return { worker, requestId, idempotencyKey, path: requestPath };
}

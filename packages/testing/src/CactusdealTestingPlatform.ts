import { type Counts, type Fault, FaultMode } from '@cactusdeal/platform-standin';
import { request } from 'undici';
import { type ManagedProcess, startProcess } from './CactusdealTestingProcess.js';
import { resolveScript } from './CactusdealTestingScripts.js';

/** The stand-in of the platform as a process of its own. */
export interface PlatformProcess {
  readonly process: ManagedProcess;
  readonly url: string;
  /** IP number and port. */
  readonly address: string;
  setFault(fault: Fault): Promise<void>;
  heal(): Promise<void>;
  getCounts(): Promise<Counts>;
}

/** Starts the stand-in of the platform on a free port of 127.0.0.1. */
export async function startPlatformProcess(): Promise<PlatformProcess> {
  const process = await startProcess({
    name: 'platform',
    script: resolveScript('platform-standin', 'CactusdealPlatformStandinMain.js'),
    args: ['--listen', '127.0.0.1:0'],
  });
  const url = process.ready.url ?? '';
  const setFault = async (fault: Fault): Promise<void> => {
    const { body } = await request(`${url}/control/fault`, {
      method: 'POST',
      body: JSON.stringify(fault),
    });
    await body.dump();
  };
  return {
    process,
    url,
    address: url.replace('http://', ''),
    setFault,
    heal: () => setFault({ mode: FaultMode.None }),
    getCounts: async () => {
      const { body } = await request(`${url}/control/counts`);
      return (await body.json()) as Counts;
    },
  };
}

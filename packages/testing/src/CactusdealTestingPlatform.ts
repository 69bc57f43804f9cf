import { type CallCounts, type Fault, FaultMode } from '@cactusdeal/platform-standin';
import { request } from 'undici';
import { type ManagedProcess, startProcess } from './CactusdealTestingProcess.js';
import { resolveScript } from './CactusdealTestingScripts.js';

/** The platform stand-in, running as a separate process. */
export interface PlatformProcess {
  readonly process: ManagedProcess;
  readonly url: string;
  /** IP address and port. */
  readonly address: string;
  /** Replaces the fault that the stand-in injects. */
  setFault(fault: Fault): Promise<void>;
  /** Ends the fault that the stand-in injects. */
  heal(): Promise<void>;
  /** Fetches how many calls the stand-in has received. */
  getCounts(): Promise<CallCounts>;
}

/** Starts the platform stand-in on a free port of 127.0.0.1. */
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
      return (await body.json()) as CallCounts;
    },
  };
}

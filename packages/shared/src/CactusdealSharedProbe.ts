import { connect } from 'node:net';
import { toSocketTarget } from './CactusdealSharedAddress.js';

const PROBE_TIMEOUT_MS = 1000;

/** Whether the address accepts new connections. */
export function probeAddress(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ ...toSocketTarget(address), timeout: PROBE_TIMEOUT_MS });
    const finish = (isReachable: boolean): void => {
      socket.destroy();
      resolve(isReachable);
    };
    socket.once('connect', () => finish(true));
    socket.once('timeout', () => finish(false));
    socket.once('error', () => finish(false));
  });
}

import type { Clock } from '@cactusdeal/shared';
import type { TrackedCall } from './CactusdealRelayTrackedCall.js';
import { createUplinkAdmission, type UplinkAdmission } from './CactusdealRelayUplinkAdmission.js';
import { createUplinkSchedule, type UplinkTransfer } from './CactusdealRelayUplinkSchedule.js';

/** The network uplink of the host, as the large answers of all links share it. */
export interface Uplink {
  readonly admission: UplinkAdmission<TrackedCall>;
  add(transfer: UplinkTransfer): void;
  remove(transfer: UplinkTransfer): void;
  /** Writes the pieces that are due; to be called when a link has become writable. */
  run(): void;
  countWaitingBytes(): number;
  close(): void;
}

/** The rest of the uplink is for headers of the network's protocols and for small messages. */
const LARGE_ANSWER_FRACTION = 0.85;
/** Bytes per millisecond in 1 Mbit/s. */
export const BYTES_PER_MS_OF_MBPS = 125;

/** Creates the uplink of a host with `mbps` megabits per second. */
export function createUplink(mbps: number, clock: Clock): Uplink {
  const bytesPerMs = mbps * BYTES_PER_MS_OF_MBPS * LARGE_ANSWER_FRACTION;
  const schedule = createUplinkSchedule(bytesPerMs);
  let timer: NodeJS.Timeout | undefined;
  return {
    admission: createUplinkAdmission(bytesPerMs, () => schedule.countWaitingBytes()),
    add: (transfer) => {
      schedule.add(transfer);
      run();
    },
    remove: (transfer) => {
      schedule.remove(transfer);
      run();
    },
    run,
    countWaitingBytes: () => schedule.countWaitingBytes(),
    close: () => clearTimeout(timer),
  };

  function run(): void {
    clearTimeout(timer);
    const delayMs = schedule.run(clock());
    timer = delayMs === undefined ? undefined : setTimeout(run, delayMs);
  }
}

import type { Clock } from '@cactusdeal/shared';
import {
  createDownlinkSchedule,
  type DownlinkSchedule,
  type OfferedBody,
} from './CactusdealRelayDownlinkSchedule.js';
import { BYTES_PER_MS_OF_MBPS } from './CactusdealRelayUplink.js';

/** The network downlink of the host, as the large bodies of calls on all links share it. */
export interface Downlink {
  /** Time after which it is expected to have capacity for the body, in milliseconds; 0 if it has it now. */
  computeWaitMs(body: OfferedBody): number;
  add(body: OfferedBody): void;
  /** Handles bytes of a body that have arrived. */
  receive(body: OfferedBody, bytes: number): void;
  /** Removes a body that is no longer wanted or whose link has ended. */
  remove(body: OfferedBody): void;
  close(): void;
}

/** The rest of the downlink is for headers of the network's protocols and for small messages. */
const LARGE_BODY_FRACTION = 0.85;
/** Interval between checks for bodies that stall, in milliseconds. */
const STALL_CHECK_MS = 50;

/** Creates the downlink of a host with `mbps` megabits per second. */
export function createDownlink(mbps: number, clock: Clock): Downlink {
  const schedule: DownlinkSchedule = createDownlinkSchedule(
    mbps * BYTES_PER_MS_OF_MBPS * LARGE_BODY_FRACTION,
  );
  let timer: NodeJS.Timeout | undefined;
  return {
    computeWaitMs: (body) => schedule.computeWaitMs(body, clock()),
    add: (body) => {
      schedule.add(body, clock());
      timer ??= setInterval(checkStalls, STALL_CHECK_MS);
    },
    receive: (body, bytes) => schedule.receive(body, bytes, clock()),
    remove: (body) => schedule.remove(body, clock()),
    close: stopChecks,
  };

  function checkStalls(): void {
    if (schedule.isIdle()) stopChecks();
    else schedule.run(clock());
  }

  function stopChecks(): void {
    clearInterval(timer);
    timer = undefined;
  }
}

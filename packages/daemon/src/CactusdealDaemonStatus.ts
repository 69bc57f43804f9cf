import type { ConfigurationHolder, Rejection } from '@cactusdeal/configuration';
import type { Mesh } from '@cactusdeal/mesh';
import type { Platform } from '@cactusdeal/platform';
import type { MemberRecord, ServiceSummary } from '@cactusdeal/schema';
import { type DataCentreStatus, readStatus } from './CactusdealDaemonSurvey.js';

/** A drain of the configuration in force, with the state that the worker's daemon announced. */
export interface DrainStatus {
  readonly worker: string;
  readonly service: string;
  readonly reason: string;
  /** State of the worker; undefined when no member of this data centre has announced it. */
  readonly state: string | undefined;
  /** Id of the member that announced the worker. */
  readonly member: string | undefined;
}

/** Status of one daemon, as the admin listener answers it. */
export interface DaemonStatus {
  readonly memberId: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  /** Version in force. */
  readonly version: number;
  /** Highest version seen, in force or rejected. */
  readonly headVersion: number;
  readonly rejections: readonly Rejection[];
  readonly members: readonly MemberRecord[];
  readonly summaries: readonly ServiceSummary[];
  readonly drains: readonly DrainStatus[];
  readonly gate: { readonly slots: number; readonly inUse: number; readonly queued: number };
  readonly quarantine: readonly unknown[];
  /** Whether it reads the platform for its data centre now. */
  readonly isReader: boolean;
}

/** Lists the drains of the configuration in force with the state of each worker in the membership. */
export function listDrains(holder: ConfigurationHolder, mesh: Mesh): readonly DrainStatus[] {
  const members = mesh.getMembers();
  return Object.entries(holder.getSnapshot().drains).map(([worker, drain]) => {
    const member = members.find((record) => record.worker?.name === worker);
    return { worker, ...drain, state: member?.worker?.state, member: member?.id };
  });
}

/** Adds to the status of the own data centre those that readers of the others wrote to the platform. */
export async function collectDataCentreStatuses(options: {
  readonly own: DataCentreStatus;
  readonly others: readonly string[];
  readonly platform: Platform;
}): Promise<
  readonly (DataCentreStatus | { readonly dataCentre: string; readonly silent: true })[]
> {
  const others = await Promise.all(
    options.others.map(
      async (dataCentre) =>
        (await readStatus(options.platform, dataCentre)) ?? ({ dataCentre, silent: true } as const),
    ),
  );
  return [options.own, ...others];
}

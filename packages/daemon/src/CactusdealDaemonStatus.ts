import type { ConfigurationHolder, Rejection } from '@cactusdeal/configuration';
import type { Mesh } from '@cactusdeal/mesh';
import type { Platform } from '@cactusdeal/platform';
import type { MemberRecord, ServiceSummary } from '@cactusdeal/schema';
import { type DataCentreStatus, readStatus } from './CactusdealDaemonSurvey.js';

/** A drain that the configuration orders, with what its worker's daemon announced. */
export interface DrainStatus {
  readonly worker: string;
  readonly service: string;
  readonly reason: string;
  /** State of the worker, undefined when no member of this data centre has it. */
  readonly state: string | undefined;
  readonly member: string | undefined;
}

/** What one daemon reports of itself. */
export interface DaemonStatus {
  readonly memberId: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  readonly version: number;
  readonly headVersion: number;
  readonly rejections: readonly Rejection[];
  readonly members: readonly MemberRecord[];
  readonly summaries: readonly ServiceSummary[];
  readonly drains: readonly DrainStatus[];
  readonly gate: { readonly slots: number; readonly inUse: number; readonly queued: number };
  readonly quarantine: readonly unknown[];
  readonly isReader: boolean;
}

/** Builds the drains of the status from the configuration and the membership. */
export function listDrains(holder: ConfigurationHolder, mesh: Mesh): readonly DrainStatus[] {
  const members = mesh.getMembers();
  return Object.entries(holder.getSnapshot().drains).map(([worker, drain]) => {
    const member = members.find((record) => record.worker?.name === worker);
    return { worker, ...drain, state: member?.worker?.state, member: member?.id };
  });
}

/** Status of every data centre: the own one surveyed now, the others as their readers wrote it. */
export async function collectDataCentres(options: {
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

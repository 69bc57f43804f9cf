import { type Message, MessageKind } from './CactusdealRelayFrames.js';
import type { CountRow } from './CactusdealRelayRolloutCounts.js';
import type { Rollout, RolloutOrder, RolloutPhase } from './CactusdealRelayRolloutTypes.js';

/** Counts of one gate or of a data centre. */
export interface CountsUpdate {
  readonly service: string;
  readonly targetVersion: string;
  /** Id of the gate's daemon; undefined for the sum of a data centre. */
  readonly memberId: string | undefined;
  readonly dataCentre: string;
  readonly rows: readonly CountRow[];
}

const NO_MEMBER = null;
const UNKNOWN_AGE_MS = -1;

/** Encodes what this daemon knows of a rollout; its start as an age, as clocks differ. */
export function toRolloutMessage(rollout: Rollout, nowMs: number): Message {
  const { order, phase, isStored, startedAtMs, isStartKnown, currentAt } = rollout;
  const { service, targetVersion, durationMs } = order;
  const ageMs = isStartKnown ? Math.round(nowMs - startedAtMs) : UNKNOWN_AGE_MS;
  return [
    MessageKind.RolloutState,
    service,
    targetVersion,
    durationMs,
    ageMs,
    phase,
    isStored,
    currentAt.era,
    currentAt.revision,
  ];
}

export function parseRollout(message: Message, nowMs: number): Rollout {
  const order: RolloutOrder = {
    service: message[1] as string,
    targetVersion: message[2] as string,
    durationMs: message[3] as number,
  };
  const ageMs = message[4] as number;
  const isStartKnown = ageMs >= 0;
  return {
    order,
    phase: message[5] as RolloutPhase,
    isStored: message[6] as boolean,
    startedAtMs: nowMs - (isStartKnown ? ageMs : order.durationMs / 2),
    isStartKnown,
    currentAt: { era: message[7] as number, revision: message[8] as number },
  };
}

/** Encodes counts; times as pairs of bucket and number, as most buckets are empty. */
export function toCountsMessage(update: CountsUpdate): Message {
  const { service, targetVersion, memberId, dataCentre, rows } = update;
  const fields = rows.map(({ kind, isTarget, group, counts }) => [
    kind,
    isTarget,
    group,
    counts.responses,
    counts.failures,
    toPairs(counts.times),
    toPairs(counts.cutTimes),
  ]);
  return [
    MessageKind.RolloutCounts,
    service,
    targetVersion,
    memberId ?? NO_MEMBER,
    dataCentre,
    fields,
  ];
}

export function parseCounts(message: Message): CountsUpdate {
  const rows = message[5] as readonly (readonly unknown[])[];
  return {
    service: message[1] as string,
    targetVersion: message[2] as string,
    memberId: (message[3] as string | null) ?? undefined,
    dataCentre: message[4] as string,
    rows: rows.map((fields) => ({
      kind: fields[0] as string,
      isTarget: fields[1] as boolean,
      group: fields[2] as number,
      counts: {
        responses: fields[3] as number,
        failures: fields[4] as number,
        times: parsePairs(fields[5] as readonly number[]),
        cutTimes: parsePairs(fields[6] as readonly number[]),
      },
    })),
  };
}

function toPairs(times: readonly number[]): readonly number[] {
  return times.flatMap((count, bucket) => (count > 0 ? [bucket, count] : []));
}

function parsePairs(pairs: readonly number[]): readonly number[] {
  const times: number[] = [];
  for (let index = 0; index + 1 < pairs.length; index += 2)
    times[pairs[index] as number] = pairs[index + 1] as number;
  return times;
}

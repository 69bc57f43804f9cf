import type { ConfigurationHolder } from '@cactusdeal/configuration';
import type { Mesh, SurveyResult } from '@cactusdeal/mesh';
import type { Platform, PlatformRecord, WriteOutcome } from '@cactusdeal/platform';
import { type Clock, type Log, waitMs } from '@cactusdeal/shared';
import { decode, encode } from 'cbor-x';

const SURVEY_TIMEOUT_MS = 1_500;
/** Pause after a survey while some daemon does not hold the surveyed version yet. */
const SURVEY_INTERVAL_MS = 1_000;
/** Pause after a survey once every daemon holds the surveyed version. */
const CONVERGED_SURVEY_INTERVAL_MS = 15_000;

/**
 * Result of a survey of a data centre. One of its readers writes it to the platform, encoded as
 * CBOR.
 */
export interface DataCentreStatus extends SurveyResult {
  readonly dataCentre: string;
  /** Version in force at the surveying daemon. */
  readonly version: number;
  /** Unix milliseconds. */
  readonly surveyedAtMs: number;
}

/** Asks every daemon of this daemon's data centre which version it holds. */
export async function surveyDataCentre(options: {
  readonly mesh: Mesh;
  readonly holder: ConfigurationHolder;
  readonly clock: Clock;
}): Promise<DataCentreStatus> {
  const { version } = options.holder.getSnapshot();
  const result = await options.mesh.survey(version, SURVEY_TIMEOUT_MS);
  const { dataCentre } = options.mesh.getSelf();
  return { ...result, dataCentre, version, surveyedAtMs: options.clock() };
}

/**
 * Surveys the data centre of this daemon until the signal aborts: often until every daemon holds the
 * version in force, rarely after that, and at once when another version comes into force. Writes the
 * result to the platform whenever it has changed, or could not be written before.
 */
export async function runSurveys(options: {
  readonly mesh: Mesh;
  readonly holder: ConfigurationHolder;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether this reader is the one that surveys now; a data centre may have several readers. */
  readonly isSurveyor: () => boolean;
  readonly signal: AbortSignal;
}): Promise<void> {
  const { holder, signal, isSurveyor } = options;
  let knownRecord: PlatformRecord | undefined;
  let lastStatus: DataCentreStatus | undefined;
  while (!signal.aborted) {
    if (!isSurveyor()) {
      await waitMs(SURVEY_INTERVAL_MS, signal);
      continue;
    }
    const status = await surveyDataCentre(options);
    if (lastStatus === undefined || hasChanged(lastStatus, status)) {
      const { record, isWritten } = await writeStatus(options.platform, status, knownRecord);
      knownRecord = record;
      lastStatus = isWritten ? status : undefined;
      logStatus(options.log, status);
    }
    await waitForNextSurvey(
      holder,
      hasConverged(status) ? CONVERGED_SURVEY_INTERVAL_MS : SURVEY_INTERVAL_MS,
      signal,
    );
  }
}

/**
 * Reads the status that a data centre's reader wrote last; undefined when there is none or the read
 * fails.
 */
export async function readStatus(
  platform: Platform,
  dataCentre: string,
): Promise<DataCentreStatus | undefined> {
  const found = await platform.get(getStatusKey(dataCentre));
  const record = found.orDefault(undefined);
  return record === undefined ? undefined : (decode(record.value) as DataCentreStatus);
}

function hasConverged(status: DataCentreStatus): boolean {
  return status.answered >= status.expected && status.lowestVersion >= status.version;
}

/** Whether anything but the time of the survey differs. */
function hasChanged(before: DataCentreStatus, after: DataCentreStatus): boolean {
  return (
    JSON.stringify({ ...before, surveyedAtMs: 0 }) !== JSON.stringify({ ...after, surveyedAtMs: 0 })
  );
}

function logStatus(log: Log, status: DataCentreStatus): void {
  const { version, answered, expected, lowestVersion } = status;
  log.info('data-centre-surveyed', { version, answered, expected, lowestVersion });
}

/** Waits for the interval, or until another version comes into force or the signal aborts. */
async function waitForNextSurvey(
  holder: ConfigurationHolder,
  intervalMs: number,
  signal: AbortSignal,
): Promise<void> {
  const changed = new AbortController();
  const stopObserving = holder.observe(() => changed.abort());
  await waitMs(intervalMs, AbortSignal.any([signal, changed.signal]));
  stopObserving();
}

/** Result of an attempt to write a status. */
interface StatusWrite {
  /** The record that the platform now holds, as far as known. */
  readonly record: PlatformRecord | undefined;
  readonly isWritten: boolean;
}

/**
 * Writes the status over `knownRecord`. Several readers of a data centre may write it: when another one
 * wrote in between, this status replaces that one in a second attempt.
 */
async function writeStatus(
  platform: Platform,
  status: DataCentreStatus,
  knownRecord: PlatformRecord | undefined,
): Promise<StatusWrite> {
  const key = getStatusKey(status.dataCentre);
  const value = encode(status);
  const outcome =
    knownRecord === undefined
      ? await platform.createIfAbsent(key, value)
      : await platform.compareAndSwap(key, knownRecord.revision, value);
  const first = outcome.map((result) => toStatusWrite(result, value));
  const { record, isWritten } = first.orDefault({ record: knownRecord, isWritten: false });
  const isOvertaken = first.isRight() && !isWritten;
  if (!isOvertaken || record === undefined) return { record, isWritten };
  const retried = await platform.compareAndSwap(key, record.revision, value);
  return retried
    .map((result) => toStatusWrite(result, value))
    .orDefault({ record: undefined, isWritten: false });
}

function toStatusWrite(outcome: WriteOutcome, value: Uint8Array): StatusWrite {
  if (!outcome.written) return { record: outcome.current, isWritten: false };
  return { record: { value, revision: outcome.revision }, isWritten: true };
}

function getStatusKey(dataCentre: string): string {
  return `status/${dataCentre}`;
}

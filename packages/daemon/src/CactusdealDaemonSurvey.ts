import type { ConfigurationHolder } from '@cactusdeal/configuration';
import type { Mesh, SurveyResult } from '@cactusdeal/mesh';
import type { Platform, PlatformRecord } from '@cactusdeal/platform';
import { type Clock, type Log, waitMs } from '@cactusdeal/shared';
import { decode, encode } from 'cbor-x';

const SURVEY_MS = 1_500;
const PAUSE_MS = 1_000;
const SETTLED_PAUSE_MS = 15_000;

/** How a data centre stands, as its reader last wrote it to the platform. */
export interface DataCentreStatus extends SurveyResult {
  readonly dataCentre: string;
  readonly version: number;
  readonly surveyedAtMs: number;
}

/** Surveys the data centre that this daemon belongs to. */
export async function surveyDataCentre(options: {
  readonly mesh: Mesh;
  readonly holder: ConfigurationHolder;
  readonly clock: Clock;
}): Promise<DataCentreStatus> {
  const { version } = options.holder.getSnapshot();
  const result = await options.mesh.survey(version, SURVEY_MS);
  const { dataCentre } = options.mesh.getSelf();
  return { ...result, dataCentre, version, surveyedAtMs: options.clock() };
}

/**
 * While this daemon reads for its data centre: surveys it after each change until every daemon
 * holds the version, and now and then after that, and writes the result to the platform.
 */
export async function runSurveys(options: {
  readonly mesh: Mesh;
  readonly holder: ConfigurationHolder;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether this reader, of those of the data centre, is the one to survey now. */
  readonly isSurveyor: () => boolean;
  readonly signal: AbortSignal;
}): Promise<void> {
  const { holder, signal, isSurveyor } = options;
  let written: PlatformRecord | undefined;
  let last: DataCentreStatus | undefined;
  while (!signal.aborted) {
    if (!isSurveyor()) {
      await waitMs(PAUSE_MS, signal);
      continue;
    }
    const status = await surveyDataCentre(options);
    if (last === undefined || hasChanged(last, status)) {
      written = await writeStatus(options.platform, status, written);
      last = status;
      logStatus(options.log, status);
    }
    await waitForNext(holder, isSettled(status) ? SETTLED_PAUSE_MS : PAUSE_MS, signal);
  }
}

/** Reads the last status that a data centre's reader wrote; undefined when there is none. */
export async function readStatus(
  platform: Platform,
  dataCentre: string,
): Promise<DataCentreStatus | undefined> {
  const found = await platform.get(getStatusKey(dataCentre));
  const record = found.orDefault(undefined);
  return record === undefined ? undefined : (decode(record.value) as DataCentreStatus);
}

function isSettled(status: DataCentreStatus): boolean {
  return status.answered >= status.expected && status.lowestVersion >= status.version;
}

function hasChanged(before: DataCentreStatus, after: DataCentreStatus): boolean {
  return (
    JSON.stringify({ ...before, surveyedAtMs: 0 }) !== JSON.stringify({ ...after, surveyedAtMs: 0 })
  );
}

function logStatus(log: Log, status: DataCentreStatus): void {
  const { version, answered, expected, lowestVersion } = status;
  log.info('data-centre-surveyed', { version, answered, expected, lowestVersion });
}

/** Waits the pause out, or until another version comes into force. */
async function waitForNext(
  holder: ConfigurationHolder,
  pauseMs: number,
  signal: AbortSignal,
): Promise<void> {
  const changed = new AbortController();
  const stopObserving = holder.observe(() => changed.abort());
  await waitMs(pauseMs, AbortSignal.any([signal, changed.signal]));
  stopObserving();
}

/** The two readers of a data centre may both write; the later survey wins. */
async function writeStatus(
  platform: Platform,
  status: DataCentreStatus,
  written: PlatformRecord | undefined,
): Promise<PlatformRecord | undefined> {
  const key = getStatusKey(status.dataCentre);
  const value = encode(status);
  const outcome =
    written === undefined
      ? await platform.createIfAbsent(key, value)
      : await platform.compareAndSwap(key, written.revision, value);
  const result = outcome.toMaybe().extract();
  if (result === undefined) return written;
  if (result.written) return { value, revision: result.revision };
  const { current } = result;
  if (current === undefined) return undefined;
  const again = await platform.compareAndSwap(key, current.revision, value);
  return again
    .map((second) => (second.written ? { value, revision: second.revision } : second.current))
    .orDefault(undefined);
}

function getStatusKey(dataCentre: string): string {
  return `status/${dataCentre}`;
}

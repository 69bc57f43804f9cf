import type { ConfigurationHolder } from '@cactusdeal/configuration';
import type { Mesh } from '@cactusdeal/mesh';
import { loadLatestConfiguration } from '@cactusdeal/operator';
import type { Platform } from '@cactusdeal/platform';
import { type Log, type Random, waitMs } from '@cactusdeal/shared';

/** Time that the peers have to answer a survey. */
const SURVEY_TIMEOUT_MS = 500;
/** This daemon answers its own survey, so two answers are those of it and one peer. */
const MIN_SURVEY_ANSWERS = 2;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;

/**
 * Waits until this daemon holds a configuration that it may serve calls with: the newest version of the
 * platform or, while that cannot be read, the highest version among the peers that answer. Retries with
 * exponential backoff and full jitter.
 *
 * @returns false when the signal aborted before.
 */
export async function waitForConfiguration(options: {
  readonly platform: Platform;
  readonly mesh: Mesh;
  readonly holder: ConfigurationHolder;
  readonly signal: AbortSignal;
  readonly random: Random;
  readonly log: Log;
}): Promise<boolean> {
  const { signal, random } = options;
  let backoffMs = INITIAL_BACKOFF_MS;
  while (!signal.aborted) {
    if (await loadFromPlatform(options.platform, options.holder, options.log)) return true;
    if (await hasCaughtUpWithPeers(options.mesh, options.holder, options.log)) return true;
    await waitMs(random() * backoffMs, signal);
    backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
  }
  return false;
}

async function loadFromPlatform(
  platform: Platform,
  holder: ConfigurationHolder,
  log: Log,
): Promise<boolean> {
  const loaded = await loadLatestConfiguration(platform, holder.getSnapshot());
  return loaded.caseOf({
    Left: ({ kind, message }) => {
      log.warn('start-load-failed', { kind, message });
      return false;
    },
    Right: ({ snapshot, hash, entries }) => {
      if (snapshot.version > holder.getSnapshot().version) holder.replaceSnapshot(snapshot, hash);
      entries.forEach((entry) => holder.applyEntry(entry));
      log.info('start-loaded', { source: 'platform', version: holder.getSnapshot().version });
      return true;
    },
  });
}

/**
 * Anti-entropy in the mesh fetches the versions; a survey shows whether any peer still has a higher
 * one.
 */
async function hasCaughtUpWithPeers(
  mesh: Mesh,
  holder: ConfigurationHolder,
  log: Log,
): Promise<boolean> {
  const { version } = holder.getSnapshot();
  const survey = await mesh.survey(version, SURVEY_TIMEOUT_MS);
  const isConclusive = survey.answered >= MIN_SURVEY_ANSWERS && survey.highestVersion > 0;
  if (!isConclusive || holder.getSnapshot().version < survey.highestVersion) return false;
  log.info('start-loaded', { source: 'peers', version, answered: survey.answered });
  return true;
}

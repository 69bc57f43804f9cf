import type { ConfigurationHolder } from '@cactusdeal/configuration';
import type { Mesh } from '@cactusdeal/mesh';
import { loadStart } from '@cactusdeal/operator';
import type { Platform } from '@cactusdeal/platform';
import { type Log, type Random, waitMs } from '@cactusdeal/shared';

const PEER_SURVEY_MS = 500;
const MIN_ANSWERS = 2;
const FIRST_WAIT_MS = 100;
const MOST_WAIT_MS = 2_000;

/**
 * Waits until this daemon holds a configuration that it may answer calls by: what the platform
 * has, or, while that does not answer, the highest version among the peers that do.
 *
 * @returns false when the signal aborted first.
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
  let longestWaitMs = FIRST_WAIT_MS;
  while (!signal.aborted) {
    if (await loadFromPlatform(options.platform, options.holder, options.log)) return true;
    if (await hasCaughtUpWithPeers(options.mesh, options.holder, options.log)) return true;
    await waitMs(random() * longestWaitMs, signal);
    longestWaitMs = Math.min(longestWaitMs * 2, MOST_WAIT_MS);
  }
  return false;
}

async function loadFromPlatform(
  platform: Platform,
  holder: ConfigurationHolder,
  log: Log,
): Promise<boolean> {
  const loaded = await loadStart(platform, holder.getSnapshot());
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

/** The digest exchange brings the versions; a survey says whether any peer has a higher one. */
async function hasCaughtUpWithPeers(
  mesh: Mesh,
  holder: ConfigurationHolder,
  log: Log,
): Promise<boolean> {
  const { version } = holder.getSnapshot();
  const survey = await mesh.survey(version, PEER_SURVEY_MS);
  const knowsEnough = survey.answered >= MIN_ANSWERS && survey.highestVersion > 0;
  if (!knowsEnough || holder.getSnapshot().version < survey.highestVersion) return false;
  log.info('start-loaded', { source: 'peers', version, answered: survey.answered });
  return true;
}

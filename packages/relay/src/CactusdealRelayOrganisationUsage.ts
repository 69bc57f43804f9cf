/** Recent use of an upstream's slots by calls of each organisation. */
export interface OrganisationUsage {
  /** Records the start of a call and its expected service time, in milliseconds. */
  record(organisation: string, rank: number, serviceMs: number, nowMs: number): void;
  /**
   * Computes the band of the organisation's next call if `queuedMs` of its service time start before. Band 0
   * is for organisations that use no more than their share; each further band allows twice as much.
   */
  computeBand(organisation: string, queuedMs: number, nowMs: number): number;
  /**
   * Estimates the mean number of slots in use by calls of `rank` that other organisations than this one
   * started in a lower band than `band`; may be fractional.
   */
  countLowerBandSlots(organisation: string, rank: number, band: number, nowMs: number): number;
}

export interface OrganisationUsageOptions {
  /** Share of the organisation in the slots by its weight; 0 to 1. */
  readonly getShare: (organisation: string) => number;
  /** Number of slots. */
  readonly getCapacity: () => number;
  /** Mean service time, in milliseconds. */
  readonly getMeanServiceMs: () => number;
}

/** Service time of the calls that started, decayed exponentially to `updatedAtMs`, in milliseconds. */
interface DecayedWork {
  workMs: number;
  updatedAtMs: number;
}

/** Time constant of the exponential decay, in milliseconds. */
const DECAY_MS = 600;
/** Organisations kept; beyond it those whose use has decayed are dropped. */
const MAX_ORGANISATIONS = 1_000;
/** Higher bands are counted as this one. */
const MAX_BAND = 31;
/** Work below which an organisation counts as idle, in milliseconds. */
const IDLE_WORK_MS = 0.1;

/**
 * Creates the usage record of one upstream.
 *
 * Load pattern: one organisation that sends several times its usual load next to many that send a few calls
 * each. Bands by factors of two tell them apart, while small differences, which the few calls of small
 * organisations always have, leave calls in the order of their targets. One recent call never takes an
 * organisation out of band 0, however small its share is.
 */
export function createOrganisationUsage(options: OrganisationUsageOptions): OrganisationUsage {
  /** For each organisation, its work by level. */
  const usage = new Map<string, Map<number, DecayedWork>>();
  return {
    record: (organisation, rank, serviceMs, nowMs) => {
      const works = findOrAddWorks(organisation, nowMs);
      const level = toLevel(rank, computeBand(organisation, 0, nowMs));
      const workMs = serviceMs + computeWorkMs(works.get(level), nowMs);
      works.set(level, { workMs, updatedAtMs: nowMs });
    },
    computeBand,
    countLowerBandSlots: (organisation, rank, band, nowMs) => {
      if (band === 0) return 0;
      let workMs = 0;
      const limit = toLevel(rank, band);
      usage.forEach((works, other) => {
        if (other === organisation) return;
        works.forEach((work, level) => {
          if (level >= rank && level < limit) workMs += computeWorkMs(work, nowMs);
        });
      });
      return workMs / DECAY_MS;
    },
  };

  function computeBand(organisation: string, queuedMs: number, nowMs: number): number {
    const shareMs = options.getShare(organisation) * options.getCapacity() * DECAY_MS;
    const entitledMs = Math.max(1, shareMs, options.getMeanServiceMs());
    const workMs = queuedMs + computeTotalMs(usage.get(organisation), nowMs);
    return workMs <= entitledMs ? 0 : Math.ceil(Math.log2(workMs / entitledMs));
  }

  function findOrAddWorks(organisation: string, nowMs: number): Map<number, DecayedWork> {
    const found = usage.get(organisation);
    if (found !== undefined) return found;
    if (usage.size >= MAX_ORGANISATIONS) evictIdle(nowMs);
    const added = new Map<number, DecayedWork>();
    usage.set(organisation, added);
    return added;
  }

  function evictIdle(nowMs: number): void {
    usage.forEach((works, organisation) => {
      if (computeTotalMs(works, nowMs) < IDLE_WORK_MS) usage.delete(organisation);
    });
  }
}

/** One number for a rank and a band in it; greater than that of any lower band or more urgent rank. */
const toLevel = (rank: number, band: number): number =>
  rank + Math.min(band, MAX_BAND) / (MAX_BAND + 1);

function computeTotalMs(
  works: ReadonlyMap<number, DecayedWork> | undefined,
  nowMs: number,
): number {
  let sumMs = 0;
  works?.forEach((work) => {
    sumMs += computeWorkMs(work, nowMs);
  });
  return sumMs;
}

function computeWorkMs(work: DecayedWork | undefined, nowMs: number): number {
  if (work === undefined) return 0;
  return work.workMs * Math.exp((work.updatedAtMs - nowMs) / DECAY_MS);
}

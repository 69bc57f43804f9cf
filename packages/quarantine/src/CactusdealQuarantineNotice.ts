/** What a daemon tells others about a request that crashed its upstream. */
export interface CrashNotice {
  /** The daemon that counted, by an id that is another one after each start. */
  readonly source: string;
  /** Hash that identifies the request. */
  readonly fingerprint: string;
  /** Crashes that the daemon has counted in total. */
  readonly crashes: number;
  /** Fewest calls that one of the crashes interrupted. */
  readonly inFlight: number;
  /** Time since the latest crash, in milliseconds. */
  readonly ageMs: number;
}

/** Longest source or fingerprint that is accepted, in characters. */
const MAX_NAME_CHARACTERS = 160;

/** Parses a notice; undefined for anything else. Daemons of older versions send neither `inFlight` nor `ageMs`. */
export function parseCrashNotice(value: unknown): CrashNotice | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { source, fingerprint, crashes, inFlight = 1, ageMs = 0 } = value as Partial<CrashNotice>;
  if (!isName(source) || !isName(fingerprint)) return undefined;
  if (!isCount(crashes) || !isCount(inFlight) || !isCount(ageMs + 1)) return undefined;
  return { source, fingerprint, crashes, inFlight, ageMs };
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_NAME_CHARACTERS;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

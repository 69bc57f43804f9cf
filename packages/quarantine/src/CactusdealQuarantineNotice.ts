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
}

/** Parses a notice; undefined for anything else. Daemons of an older version do not send `inFlight`. */
export function parseCrashNotice(value: unknown): CrashNotice | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { source, fingerprint, crashes, inFlight = 1 } = value as Partial<CrashNotice>;
  if (typeof source !== 'string' || typeof fingerprint !== 'string') return undefined;
  if (!isCount(crashes) || !isCount(inFlight)) return undefined;
  return { source, fingerprint, crashes, inFlight };
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

/**
 * Header fields of calls, in lower case as they are compared.
 *
 * A caller may send `cactusdeal-service`, `idempotency-key`, `cactusdeal-deadline-ms`,
 * `cactusdeal-retry-budget` and `cactusdeal-depth`. They travel on to the upstream, which passes them
 * to the calls that it makes itself. Every answer carries `cactusdeal-outcome`; a refusal carries
 * `cactusdeal-refusal` as well. The other fields pass between daemons only: they are removed before
 * a request reaches an upstream, and those of an upstream's answer never pass for a daemon's.
 */
export const CallHeader = {
  /** Service that the call is for; without it the longest path prefix of all routes decides. */
  Service: 'cactusdeal-service',
  /** Names one intended effect, however often it is sent; required on atMostOnce routes. */
  IdempotencyKey: 'idempotency-key',
  /** Remaining time in milliseconds; only shortens what the route allows. */
  DeadlineMs: 'cactusdeal-deadline-ms',
  /** Retries for each call that may still be earned in this tree of calls, a decimal. */
  RetryBudget: 'cactusdeal-retry-budget',
  /** Calls above this one in the tree. */
  Depth: 'cactusdeal-depth',
  /** `CallOutcome` of the answer. */
  Outcome: 'cactusdeal-outcome',
  /** `RefusalKind` of an answer that the system gave itself. */
  Refusal: 'cactusdeal-refusal',
  /** Between daemons: the worker whose gate the request is for. */
  Gate: 'cactusdeal-gate',
  /** Between daemons: name of one attempt, for the question whether it arrived. */
  Attempt: 'cactusdeal-attempt',
  /** Between daemons, with the question: how long ago the attempt was sent, in milliseconds. */
  AttemptAgeMs: 'cactusdeal-attempt-age-ms',
  /** Between daemons: time in milliseconds that the upstream took to begin its answer. */
  UpstreamMs: 'cactusdeal-upstream-ms',
} as const;

const PREFIX = 'cactusdeal-';

/** Fields that end at each hop, by RFC 9110 section 7.6.1; each hop answers `expect` itself. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Removes hop-by-hop fields and all of ours from alternating names and values. */
export function selectEndToEnd(raw: readonly (string | Buffer)[]): string[] {
  const kept: string[] = [];
  let named: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = toText(raw[index]);
    const lower = name.toLowerCase();
    if (lower === 'connection') named = addConnectionOptions(named, toText(raw[index + 1]));
    if (HOP_BY_HOP.has(lower) || lower.startsWith(PREFIX)) continue;
    kept.push(name, toText(raw[index + 1]));
  }
  return named === undefined ? kept : removeNamed(kept, named);
}

/** Finds a field in alternating names and values; names are compared in lower case. */
export function findHeader(raw: readonly (string | Buffer)[], name: string): string | undefined {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const candidate = raw[index] as string | Buffer;
    if (candidate.length === name.length && toText(candidate).toLowerCase() === name) {
      return toText(raw[index + 1]);
    }
  }
  return undefined;
}

function toText(value: string | Buffer | undefined): string {
  if (value === undefined) return '';
  return typeof value === 'string' ? value : value.toString('latin1');
}

function addConnectionOptions(
  named: Set<string> | undefined,
  value: string,
): Set<string> | undefined {
  const options = value
    .toLowerCase()
    .split(',')
    .map((option) => option.trim())
    .filter((option) => option !== '' && option !== 'keep-alive' && option !== 'close');
  return options.length === 0 ? named : new Set([...(named ?? []), ...options]);
}

function removeNamed(headers: readonly string[], named: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (!named.has(name.toLowerCase())) kept.push(name, headers[index + 1] as string);
  }
  return kept;
}

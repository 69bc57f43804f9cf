/**
 * Header fields of calls, in lower case as they are compared.
 *
 * A caller may send `cactusdeal-service`, `idempotency-key`, `cactusdeal-deadline-ms`,
 * `cactusdeal-retry-budget` and `cactusdeal-depth`. They are propagated to the upstream, which sends
 * them with the calls that it makes itself. Every response has `cactusdeal-outcome`; a refusal also
 * has `cactusdeal-refusal`. The other fields are for daemons only: they are removed from requests to
 * an upstream, and from its responses, so that an upstream cannot forge them.
 */
export const CallHeader = {
  /** Service of the call; without it, the longest matching path prefix of all routes decides. */
  Service: 'cactusdeal-service',
  /** Identifies one intended effect over all resends; required on atMostOnce routes. */
  IdempotencyKey: 'idempotency-key',
  /** Remaining time in milliseconds; can only shorten the route's deadline. */
  DeadlineMs: 'cactusdeal-deadline-ms',
  /** Retries per call that the rest of this call tree may still earn, as a decimal number. */
  RetryBudget: 'cactusdeal-retry-budget',
  /** Number of calls above this one in the call tree. */
  Depth: 'cactusdeal-depth',
  /** Between daemons: the service beside the daemon where the call entered. */
  Caller: 'cactusdeal-caller',
  /** `CallOutcome` of the response. */
  Outcome: 'cactusdeal-outcome',
  /** `RefusalKind` of a response that a daemon generated itself. */
  Refusal: 'cactusdeal-refusal',
  /** Between daemons: the worker whose gate is to serve the request. */
  Gate: 'cactusdeal-gate',
  /** Between daemons: id of an attempt in a request or query; its state in the answer to a query. */
  Attempt: 'cactusdeal-attempt',
  /** Between daemons, in a query: how long ago the attempt was sent, in milliseconds. */
  AttemptAgeMs: 'cactusdeal-attempt-age-ms',
  /** Between daemons: milliseconds in the queue and at the upstream until the response began. */
  UpstreamMs: 'cactusdeal-upstream-ms',
} as const;

const OWN_PREFIX = 'cactusdeal-';

/** Fields that are not forwarded (RFC 9110 section 7.6.1); each hop handles `expect` itself. */
const HOP_BY_HOP_FIELDS: ReadonlySet<string> = new Set([
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

/** Copies alternating names and values without hop-by-hop fields and those of this system. */
export function selectEndToEnd(raw: readonly (string | Buffer)[]): string[] {
  const forwarded: string[] = [];
  let connectionOptions: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = toText(raw[index]);
    const lower = name.toLowerCase();
    if (lower === 'connection')
      connectionOptions = addConnectionOptions(connectionOptions, toText(raw[index + 1]));
    if (HOP_BY_HOP_FIELDS.has(lower) || lower.startsWith(OWN_PREFIX)) continue;
    forwarded.push(name, toText(raw[index + 1]));
  }
  return connectionOptions === undefined ? forwarded : removeNamed(forwarded, connectionOptions);
}

/** Finds a field in alternating names and values; `name` must be in lower case. */
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
  known: Set<string> | undefined,
  value: string,
): Set<string> | undefined {
  const options = value
    .toLowerCase()
    .split(',')
    .map((option) => option.trim())
    .filter((option) => option !== '' && option !== 'keep-alive' && option !== 'close');
  return options.length === 0 ? known : new Set([...(known ?? []), ...options]);
}

function removeNamed(headers: readonly string[], named: ReadonlySet<string>): string[] {
  const remaining: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (!named.has(name.toLowerCase())) remaining.push(name, headers[index + 1] as string);
  }
  return remaining;
}

/**
 * Hop-by-hop fields of RFC 9110 section 7.6.1, and the content length, which each hop sets anew.
 */
const HOP_BY_HOP_FIELDS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
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

/**
 * Finds the first value of a field in a list of alternating names and values; `name` is in lower
 * case.
 */
export function findField(fields: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const candidate = fields[index] as string;
    if (candidate.length === name.length && candidate.toLowerCase() === name) {
      return fields[index + 1];
    }
  }
  return undefined;
}

/**
 * Returns the end-to-end fields: all but hop-by-hop ones, those listed by `connection`, and those
 * in `dropped` (in lower case).
 */
export function selectEndToEnd(
  fields: readonly string[],
  dropped: ReadonlySet<string> = new Set(),
): string[] {
  const connectionOptions = listConnectionOptions(fields);
  const kept: string[] = [];
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index] as string;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_FIELDS.has(lower) || dropped.has(lower) || connectionOptions.includes(lower))
      continue;
    kept.push(name, fields[index + 1] as string);
  }
  return kept;
}

const NO_CONNECTION_OPTIONS: readonly string[] = [];
/** The values that nearly all senders use. */
const USUAL_CONNECTION_OPTIONS: ReadonlyMap<string, readonly string[]> = new Map(
  ['close', 'keep-alive'].map((value) => [value, [value]]),
);

/** Lists the fields that the `connection` field names as hop-by-hop, in lower case. */
function listConnectionOptions(fields: readonly string[]): readonly string[] {
  const value = findField(fields, 'connection');
  if (value === undefined) return NO_CONNECTION_OPTIONS;
  return USUAL_CONNECTION_OPTIONS.get(value) ?? parseConnectionOptions(value);
}

function parseConnectionOptions(value: string): readonly string[] {
  return value
    .toLowerCase()
    .split(',')
    .map((option) => option.trim());
}

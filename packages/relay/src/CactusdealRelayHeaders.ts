/** Fields that end at each hop, by RFC 9110 section 7.6.1, and the length, which each hop sets. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
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

/** Finds a field by its name in lower case in alternating names and values. */
export function findField(fields: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const candidate = fields[index] as string;
    if (candidate.length === name.length && candidate.toLowerCase() === name) {
      return fields[index + 1];
    }
  }
  return undefined;
}

/** Removes fields that concern one connection, and those of `dropped` (names in lower case). */
export function selectEndToEnd(
  fields: readonly string[],
  dropped: ReadonlySet<string> = new Set(),
): string[] {
  const named = listConnectionOptions(fields);
  const kept: string[] = [];
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index] as string;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || dropped.has(lower) || named.includes(lower)) continue;
    kept.push(name, fields[index + 1] as string);
  }
  return kept;
}

const NO_OPTIONS: readonly string[] = [];

function listConnectionOptions(fields: readonly string[]): readonly string[] {
  const value = findField(fields, 'connection');
  if (value === undefined) return NO_OPTIONS;
  return value
    .toLowerCase()
    .split(',')
    .map((option) => option.trim());
}

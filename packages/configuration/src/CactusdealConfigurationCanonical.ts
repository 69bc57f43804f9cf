/**
 * Formats a value as canonical JSON: the keys of each object are sorted by UTF-16 code units, so that
 * equal values give equal text whatever the order of their keys. Fields that are undefined are left
 * out.
 */
export function formatCanonical(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(formatCanonical).join(',')}]`;
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  const table = value as Readonly<Record<string, unknown>>;
  const fields = Object.keys(table)
    .filter((key) => table[key] !== undefined)
    .sort()
    .map((key) => `${JSON.stringify(key)}:${formatCanonical(table[key])}`);
  return `{${fields.join(',')}}`;
}

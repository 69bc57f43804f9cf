/**
 * Formats a JSON value with the keys of every object in code-unit order, so that equal values give
 * equal text whatever the order in which they were built.
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

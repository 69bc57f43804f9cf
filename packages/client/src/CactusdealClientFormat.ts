import type { Plan } from '@cactusdeal/schema';

/** Formats a plan as text, with the command that confirms it. */
export function formatPlan(plan: Plan): string {
  const { version, baseVersion } = plan.entry;
  return [
    `plan ${plan.id}: version ${baseVersion} -> ${version}`,
    ...plan.effects.map((effect) => formatEffect(effect)),
    ...plan.warnings.map((warning) => `  warning: ${warning}`),
    `nothing has changed yet; confirm with: cactusctl confirm ${plan.id}`,
  ].join('\n');
}

/** Formats a JSON value as indented lines of `key: value`, one line for each item of a list. */
export function formatValue(value: unknown, indent = ''): string {
  if (Array.isArray(value)) {
    if (value.length === 0) return `${indent}none`;
    return value.map((item) => formatItem(item, indent)).join('\n');
  }
  if (typeof value === 'object' && value !== null) {
    return Object.entries(value)
      .map(([key, inner]) => formatProperty(key, inner, indent))
      .join('\n');
  }
  return `${indent}${String(value)}`;
}

function formatEffect(effect: Plan['effects'][number]): string {
  const affected = effect.affects.length === 0 ? 'none' : effect.affects.join(', ');
  return `  ${effect.subject}: ${effect.change} (affects ${affected})`;
}

function formatItem(item: unknown, indent: string): string {
  if (typeof item !== 'object' || item === null) return `${indent}- ${String(item)}`;
  const fields = Object.entries(item).map(([key, inner]) => `${key}=${formatInline(inner)}`);
  return `${indent}- ${fields.join(' ')}`;
}

function formatProperty(key: string, value: unknown, indent: string): string {
  if (typeof value !== 'object' || value === null) return `${indent}${key}: ${String(value)}`;
  return `${indent}${key}:\n${formatValue(value, `${indent}  `)}`;
}

function formatInline(value: unknown): string {
  return typeof value === 'string' && !/\s/.test(value) ? value : JSON.stringify(value);
}

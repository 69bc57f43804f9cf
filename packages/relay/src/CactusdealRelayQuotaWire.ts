import { type Message, MessageKind } from './CactusdealRelayFrames.js';

/** Calls of an organisation since the last message about them. */
export interface QuotaCount {
  readonly name: string;
  readonly arrivals: number;
  /** Calls let through, less those given back; may be negative. */
  readonly admitted: number;
}

/** The throttling of an organisation. */
export interface QuotaThrottle {
  /** Fraction of its calls that entries admit, 0 to 1. */
  readonly fraction: number;
  /** Calls left in its bucket; negative once more were admitted than its quota allows. */
  readonly level: number;
  /** Its calls per second over all daemons. */
  readonly demand: number;
}

/** A throttled organisation in the state sent to entries. */
export interface NamedThrottle extends QuotaThrottle {
  readonly name: string;
}

/** An entry's counts of an organisation, with its throttle so that a new coordinator continues from it. */
export interface QuotaUsage extends QuotaCount {
  readonly throttle: QuotaThrottle | undefined;
}

/** A coordinator's counts of an organisation, with its view of the bucket. */
export interface QuotaSum extends QuotaCount {
  readonly level: number;
}

/** What a coordinator sends to other coordinators. */
export interface QuotaSummary {
  /** Number of hosts that report to the coordinator. */
  readonly hosts: number;
  readonly sums: readonly QuotaSum[];
}

type Row = readonly unknown[];

export function toUsageMessage(usages: readonly QuotaUsage[]): Message {
  const rows = usages.map(({ name, arrivals, admitted, throttle }) =>
    throttle === undefined
      ? [name, arrivals, admitted]
      : [name, arrivals, admitted, ...toFields(throttle)],
  );
  return [MessageKind.QuotaUsage, ...rows];
}

/** Decodes an entry's report; leaves out invalid rows. */
export function parseUsage(message: Message): readonly QuotaUsage[] {
  return parseRows(message, 1, (row) => {
    const count = parseCount(row);
    return count === undefined ? undefined : { ...count, throttle: parseThrottle(row, 3) };
  });
}

export function toStateMessage(throttles: readonly NamedThrottle[]): Message {
  return [
    MessageKind.QuotaState,
    ...throttles.map((throttle) => [throttle.name, ...toFields(throttle)]),
  ];
}

/** Decodes the throttled organisations; leaves out invalid rows. */
export function parseState(message: Message): readonly NamedThrottle[] {
  return parseRows(message, 1, (row) => {
    const name = row[0];
    const throttle = parseThrottle(row, 1);
    return typeof name === 'string' && throttle !== undefined ? { name, ...throttle } : undefined;
  });
}

export function toSummaryMessage({ hosts, sums }: QuotaSummary): Message {
  const rows = sums.map(({ name, arrivals, admitted, level }) => [
    name,
    arrivals,
    admitted,
    Math.round(level),
  ]);
  return [MessageKind.QuotaSummary, hosts, ...rows];
}

/** Decodes a summary; leaves out invalid rows. */
export function parseSummary(message: Message): QuotaSummary {
  const hosts = message[1];
  const sums = parseRows(message, 2, (row) => {
    const count = parseCount(row);
    const level = row[3];
    return count === undefined || !isFinite(level) ? undefined : { ...count, level };
  });
  return { hosts: isFinite(hosts) ? Math.max(0, hosts) : 0, sums };
}

/** Decodes the rows from an index on. Indexed access, as coordinators decode about a thousand rows a second. */
function parseRows<T>(
  message: Message,
  start: number,
  parseRow: (row: Row) => T | undefined,
): readonly T[] {
  const parsed: T[] = [];
  for (let index = start; index < message.length; index += 1) {
    const row = message[index];
    const value = Array.isArray(row) ? parseRow(row as Row) : undefined;
    if (value !== undefined) parsed.push(value);
  }
  return parsed;
}

function toFields({ fraction, level, demand }: QuotaThrottle): readonly number[] {
  return [Number(fraction.toFixed(4)), Math.round(level), Math.round(demand)];
}

function parseCount(row: Row): QuotaCount | undefined {
  const name = row[0];
  const arrivals = row[1];
  const admitted = row[2];
  if (typeof name !== 'string' || !isFinite(arrivals) || !isFinite(admitted)) return undefined;
  return { name, arrivals: Math.max(0, arrivals), admitted };
}

function parseThrottle(row: Row, start: number): QuotaThrottle | undefined {
  const fraction = row[start];
  const level = row[start + 1];
  const demand = row[start + 2];
  if (!isFinite(fraction) || !isFinite(level) || !isFinite(demand)) return undefined;
  return { fraction: Math.min(1, Math.max(0, fraction)), level, demand };
}

function isFinite(field: unknown): field is number {
  return Number.isFinite(field);
}

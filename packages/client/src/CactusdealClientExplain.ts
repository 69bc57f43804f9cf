import type { LogEvent } from './CactusdealClientLogLines.js';

/** What became of one call, from the logs of the daemons that it touched. */
export interface Explanation {
  readonly call: string;
  /** Events of the call itself, in order of time. */
  readonly steps: readonly LogEvent[];
  /** Events of calls that its upstream made for it. */
  readonly nested: readonly LogEvent[];
  /** What the daemons on its way believed when they decided. */
  readonly beliefs: readonly LogEvent[];
  /** What it came to, in plain words. */
  readonly verdict: string;
}

/** A link that was lost this long around the end of an attempt is its cause. */
const LINK_WINDOW_MS = 1_500;

/** Explains the call of the id; undefined when no event names it. */
export function explainCall(events: readonly LogEvent[], call: string): Explanation | undefined {
  const ordered = [...events].sort((left, right) => left.atMs - right.atMs);
  const steps = ordered.filter(({ fields }) => fields.call === call);
  const nested = ordered.filter(({ fields }) => fields.call?.startsWith(`${call}.`) === true);
  if (steps.length + nested.length === 0) return undefined;
  const beliefs = findBeliefs(ordered, steps);
  return { call, steps, nested, beliefs, verdict: explainOutcome(steps, nested, beliefs) };
}

/** Formats an explanation for a reader at a terminal. */
export function formatExplanation({ call, steps, nested, beliefs, verdict }: Explanation): string {
  const list = (title: string, events: readonly LogEvent[]): string[] =>
    events.length === 0 ? [] : [title, ...events.map(({ text }) => `  ${text}`)];
  return [
    `call ${call}: ${verdict}`,
    ...list('its way:', steps),
    ...list('calls that its upstream made for it:', nested),
    ...list('what the daemons on its way believed:', beliefs),
  ].join('\n');
}

/** The last word on the version, the upstream and lost links before each step. */
function findBeliefs(ordered: readonly LogEvent[], steps: readonly LogEvent[]): LogEvent[] {
  const found = new Set<LogEvent>();
  const add = (event: LogEvent | undefined): void => {
    if (event !== undefined) found.add(event);
  };
  steps.forEach((step) => {
    const { daemon, atMs, fields } = step;
    add(findLast(ordered, daemon, 'version-in-force', atMs));
    add(findLast(ordered, daemon, 'platform-lost', atMs));
    add(findLast(ordered, fields.gate ?? daemon, 'upstream-changed', atMs));
    add(findLink(ordered, step));
  });
  return ordered.filter((event) => found.has(event));
}

function findLast(
  ordered: readonly LogEvent[],
  daemon: string,
  name: string,
  untilMs: number,
): LogEvent | undefined {
  return ordered.findLast(
    ({ event, daemon: by, atMs }) => event === name && by === daemon && atMs <= untilMs,
  );
}

function findLink(
  ordered: readonly LogEvent[],
  { daemon, atMs, fields }: LogEvent,
): LogEvent | undefined {
  if (fields.reason !== 'link-lost') return undefined;
  return ordered.find(
    (other) =>
      other.event === 'link-lost' &&
      other.daemon === daemon &&
      other.fields.peer === fields.gate &&
      Math.abs(other.atMs - atMs) <= LINK_WINDOW_MS,
  );
}

type Explain = (steps: readonly LogEvent[], beliefs: readonly LogEvent[]) => string;

/** What a reason means, by the reason that the caller was told. */
const REASONS: Readonly<Record<string, Explain>> = {
  busy: explainBusy,
  overtaken: explainBusy,
  closed: (_, beliefs) => {
    const state = beliefs.findLast(({ event }) => event === 'upstream-changed')?.fields.state;
    const why = state === undefined ? 'was not heard since its daemon started' : `was ${state}`;
    return `refused, not run: the upstream ${why}`;
  },
  'no-upstream': () => 'refused, not run: no gate of the service was open or could be reached',
  'no-configuration': () => 'refused, not run: the daemon held no configuration yet',
  'no-route': () => 'answered 404: the version in force has no route for its host and path',
  stopping: () => 'refused, not run: the daemon was about to end',
  unreachable: () => 'refused, not run: the gate or its upstream could not be reached',
  expired: () => 'refused, not run: its time was over before it could start',
  shed: () => 'refused, not run: the upstream itself turned it away',
  'timed-out': () => 'answered 504: it had not ended when the time of its route or caller was over',
  'link-lost': (_, beliefs) => {
    const link = beliefs.findLast(({ event }) => event === 'link-lost');
    const why = link === undefined ? '' : ` (${link.fields.reason})`;
    return `answered 502, may have run: the link to its gate was lost${why}`;
  },
  broken: (steps) => {
    const message = steps.findLast(({ event }) => event === 'upstream-broken')?.fields.message;
    return `answered 502, may have run: the upstream broke off (${message ?? 'no line of its gate'})`;
  },
  cancelled: () => 'ended without an answer: its caller left',
};

function explainOutcome(
  steps: readonly LogEvent[],
  nested: readonly LogEvent[],
  beliefs: readonly LogEvent[],
): string {
  const told = steps.findLast(({ event }) => event === 'call-refused');
  if (told !== undefined) {
    const { status = '', reason = '' } = told.fields;
    return REASONS[reason]?.(steps, beliefs) ?? `answered ${status}: ${reason}`;
  }
  const attempt = steps.findLast(({ event }) => event === 'attempt-ended');
  if (attempt === undefined) {
    return 'no daemon told its end: it runs still, or the line was left out (log-lines-lost)';
  }
  const { outcome, reason = '', gate = '', totalMs = '' } = attempt.fields;
  if (outcome !== 'answered') return REASONS[reason]?.(steps, beliefs) ?? `ended: ${reason}`;
  const below = nested.some(({ event }) => event === 'call-refused');
  const why = below ? ', after a call that it made was not served' : '';
  return `answered ${reason} by the upstream of ${gate}${why}, after ${totalMs} ms`;
}

/** A gate refuses for want of room, or because the call came with too little time. */
function explainBusy(steps: readonly LogEvent[]): string {
  const refusal = steps.findLast(({ event }) => event === 'gate-refused');
  if (refusal === undefined) {
    return 'refused, not run: all gates of the service had just refused such calls';
  }
  const { running, capacity, waiting, targetMs, serviceMs, waitedMs } = refusal.fields;
  const isFull = Number(running) >= Number(capacity);
  const waited = Number(waitedMs) > 0 ? ` after ${waitedMs} ms in the queue` : '';
  if (isFull) {
    return `refused, not run${waited}: the upstream was full (${running} of ${capacity} ran, ${waiting} waited)`;
  }
  return `refused, not run${waited}: ${targetMs} ms were left for a call that takes ${serviceMs} ms`;
}

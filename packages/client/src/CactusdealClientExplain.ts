import type { LogEvent } from './CactusdealClientLogLines.js';

/**
 * How one call was handled and how it ended, from the logs of the daemons involved. Printed with
 * `--json`.
 */
export interface Explanation {
  readonly call: string;
  /** Log events of the call itself, oldest first. */
  readonly steps: readonly LogEvent[];
  /** Log events of the calls that its upstream made while it served this one, oldest first. */
  readonly nested: readonly LogEvent[];
  /**
   * Events that show what its daemons knew then: version in force, platform, upstream and lost
   * links.
   */
  readonly beliefs: readonly LogEvent[];
  /** How the call ended and why, as one sentence. */
  readonly verdict: string;
}

/** Most time between an event of a call and the loss of a link that is taken as its cause. */
const LINK_LOSS_WINDOW_MS = 1_500;

/** Explains the call with the given id; undefined when no event names it. */
export function explainCall(events: readonly LogEvent[], call: string): Explanation | undefined {
  const ordered = [...events].sort((left, right) => left.atMs - right.atMs);
  const steps = ordered.filter(({ fields }) => fields.call === call);
  const nested = ordered.filter(({ fields }) => fields.call?.startsWith(`${call}.`) === true);
  if (steps.length + nested.length === 0) return undefined;
  const context = findContextEvents(ordered, steps);
  return { call, steps, nested, beliefs: context, verdict: explainOutcome(steps, nested, context) };
}

/** Formats an explanation as lines of text for a terminal. */
export function formatExplanation({ call, steps, nested, beliefs, verdict }: Explanation): string {
  const formatSection = (title: string, events: readonly LogEvent[]): string[] =>
    events.length === 0 ? [] : [title, ...events.map(({ text }) => `  ${text}`)];
  return [
    `call ${call}: ${verdict}`,
    ...formatSection('events of the call:', steps),
    ...formatSection('events of nested calls, made by its upstream:', nested),
    ...formatSection('what the daemons involved knew:', beliefs),
  ].join('\n');
}

/**
 * Last event on the version, the platform and the upstream before each step, and lost links near
 * it.
 */
function findContextEvents(ordered: readonly LogEvent[], steps: readonly LogEvent[]): LogEvent[] {
  const found = new Set<LogEvent>();
  const add = (event: LogEvent | undefined): void => {
    if (event !== undefined) found.add(event);
  };
  steps.forEach((step) => {
    const { daemon, atMs, fields } = step;
    add(findLastEvent(ordered, daemon, 'version-in-force', atMs));
    add(findLastEvent(ordered, daemon, 'platform-lost', atMs));
    add(findLastEvent(ordered, fields.gate ?? daemon, 'upstream-changed', atMs));
    add(findLinkLoss(ordered, step));
  });
  return ordered.filter((event) => found.has(event));
}

function findLastEvent(
  ordered: readonly LogEvent[],
  daemon: string,
  name: string,
  untilMs: number,
): LogEvent | undefined {
  return ordered.findLast(
    ({ event, daemon: eventDaemon, atMs }) =>
      event === name && eventDaemon === daemon && atMs <= untilMs,
  );
}

function findLinkLoss(
  ordered: readonly LogEvent[],
  { daemon, atMs, fields }: LogEvent,
): LogEvent | undefined {
  if (fields.reason !== 'link-lost') return undefined;
  return ordered.find(
    (candidate) =>
      candidate.event === 'link-lost' &&
      candidate.daemon === daemon &&
      candidate.fields.peer === fields.gate &&
      Math.abs(candidate.atMs - atMs) <= LINK_LOSS_WINDOW_MS,
  );
}

type ReasonFormatter = (steps: readonly LogEvent[], context: readonly LogEvent[]) => string;

/** Explains each value of the field `reason` of a refusal or an ended attempt. */
const REASON_FORMATTERS: Readonly<Record<string, ReasonFormatter>> = {
  busy: explainAdmissionRefusal,
  overtaken: explainAdmissionRefusal,
  closed: (_, context) => {
    const state = context.findLast(({ event }) => event === 'upstream-changed')?.fields.state;
    const why =
      state === undefined ? 'had sent no heartbeat since its daemon started' : `was ${state}`;
    return `refused, not run: the upstream ${why}`;
  },
  'no-upstream': () => 'refused, not run: no gate of the service was open and reachable',
  'no-configuration': () => 'refused, not run: the daemon had not loaded a configuration yet',
  'no-memory': () => 'refused, not run: bodies of other calls left no memory for its own',
  'body-timed-out': () => 'answered 408, not run: its body was not complete by its deadline',
  'no-route': () => 'answered 404: the version in force has no route for its host and path',
  stopping: () => 'refused, not run: the daemon was shutting down',
  stopped: () => 'answered 502, may have run: its daemon stopped before the answer arrived',
  unreachable: () => 'refused, not run: the gate or its upstream could not be reached',
  expired: () => 'refused, not run: its deadline passed before it could start',
  unconfirmed: (steps) => {
    const linkMs = steps.findLast(({ event }) => event === 'call-late')?.fields.linkMs;
    const late = linkMs === undefined ? 'late' : `${linkMs} ms late`;
    return `refused, not run: it reached the gate ${late}, and its entry did not confirm that it was wanted`;
  },
  quarantined: () => 'refused, not run: calls alike were running when upstreams crashed',
  shed: () => 'refused, not run: the upstream itself refused it (load shedding)',
  'timed-out': () =>
    'answered 504, may have run: it had not ended by the deadline of its route or caller',
  'link-lost': (_, context) => {
    const link = context.findLast(({ event }) => event === 'link-lost');
    const why = link === undefined ? '' : ` (${link.fields.reason})`;
    return `answered 502, may have run: the link to its gate was lost${why}`;
  },
  broken: (steps) => {
    const message = steps.findLast(({ event }) => event === 'upstream-broken')?.fields.message;
    return `answered 502, may have run: no valid answer came from the upstream (${message ?? 'no log line of its gate'})`;
  },
  cancelled: () => 'ended without an answer: its caller disconnected',
};

function explainOutcome(
  steps: readonly LogEvent[],
  nested: readonly LogEvent[],
  context: readonly LogEvent[],
): string {
  const refusal = steps.findLast(({ event }) => event === 'call-refused');
  if (refusal !== undefined) {
    const { status = '', reason = '' } = refusal.fields;
    return REASON_FORMATTERS[reason]?.(steps, context) ?? `answered ${status}: ${reason}`;
  }
  const attempt = steps.findLast(({ event }) => event === 'attempt-ended');
  if (attempt === undefined) {
    return 'no daemon logged its end: it is still running, or the line was dropped (see event log-lines-lost)';
  }
  const { outcome, reason = '', gate = '', totalMs = '' } = attempt.fields;
  if (outcome !== 'answered')
    return REASON_FORMATTERS[reason]?.(steps, context) ?? `ended: ${reason}`;
  const hasRefusedNestedCall = nested.some(({ event }) => event === 'call-refused');
  const suffix = hasRefusedNestedCall ? '; a nested call was refused' : '';
  return `answered ${reason} by the upstream of ${gate} after ${totalMs} ms${suffix}`;
}

/** A gate refuses when all slots are in use, or when the call cannot end by its deadline. */
function explainAdmissionRefusal(steps: readonly LogEvent[]): string {
  const refusal = steps.findLast(({ event }) => event === 'gate-refused');
  if (refusal === undefined) {
    return 'refused, not run: every gate of the service had just refused calls of this kind';
  }
  const { running, capacity, waiting, targetMs, serviceMs, waitedMs } = refusal.fields;
  const hasNoFreeSlot = Number(running) >= Number(capacity);
  const queueDelay = Number(waitedMs) > 0 ? ` after a queueing delay of ${waitedMs} ms` : '';
  if (hasNoFreeSlot) {
    return `refused, not run${queueDelay}: all slots of the upstream were in use (${running} of ${capacity} running, ${waiting} queued)`;
  }
  return `refused, not run${queueDelay}: ${targetMs} ms were left, but the estimated service time was ${serviceMs} ms`;
}

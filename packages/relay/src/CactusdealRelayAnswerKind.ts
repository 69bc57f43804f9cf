import { findField } from './CactusdealRelayHeaders.js';
import type { Answer, HeaderNames } from './CactusdealRelayTypes.js';

/** With the "not run" header field, these statuses mean that the upstream shed the request. */
const SHED_STATUSES: ReadonlySet<number> = new Set([400, 421, 429, 503]);
/** Lowest status of a server error (RFC 9110 section 15.6). */
export const MIN_SERVER_ERROR_STATUS = 500;
/** Another upstream has taken over the address. */
export const MISDIRECTED_STATUS = 421;

/**
 * Whether the upstream itself answered: it signs each success, so one without a signature is from
 * something else.
 */
export function isUpstreamAnswer(answer: Answer, names: HeaderNames): boolean {
  const isSuccess = answer.status >= 200 && answer.status < 300;
  return !isSuccess || findField(answer.headers, names.signature) !== undefined;
}

/**
 * Whether the answer shows that the upstream has run the request to its end and goes on: a failure may
 * come before the part that would end it, and an answer without a signature from something else.
 */
export function hasRunWell(answer: Answer, names: HeaderNames): boolean {
  const isFailure = answer.status >= MIN_SERVER_ERROR_STATUS;
  return !isFailure && findField(answer.headers, names.signature) !== undefined;
}

/** Whether the upstream refused the request without running it. */
export function isShedAnswer({ status, headers }: Answer, names: HeaderNames): boolean {
  if (status === MISDIRECTED_STATUS) return true;
  return SHED_STATUSES.has(status) && findField(headers, names.notRun) !== undefined;
}

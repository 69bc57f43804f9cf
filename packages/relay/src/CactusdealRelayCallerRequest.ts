import type { IncomingMessage } from 'node:http';
import { findField, selectEndToEnd } from './CactusdealRelayHeaders.js';
import { formatOrganisationField, listOrganisationFields } from './CactusdealRelayOrganisations.js';
import type { RouteTable } from './CactusdealRelayRoutes.js';
import type { HeaderNames, OrganisationRule } from './CactusdealRelayTypes.js';
import type { CallIdentity } from './CactusdealRelayUnservedCalls.js';

/** Reads what callers' requests say to the entry. */
export interface CallerRequests {
  readIdentity(request: IncomingMessage): CallIdentity;
  /** Builds the fields for the upstream, which never gets the API key. */
  buildHeaders(
    request: IncomingMessage,
    routes: Pick<RouteTable, 'organisations'>,
    organisation: OrganisationRule | undefined,
  ): string[];
}

/** Limit of the time that a caller may ask for, and the default if it names none. */
export const MAX_DEADLINE_MS = 600_000;

/** `callerService` is named to upstreams as the caller's service. */
export function createCallerRequests(names: HeaderNames, callerService: string): CallerRequests {
  const strippedFields = [names.deadline, names.upstreamId, names.callerService];
  const stripped = new Set(strippedFields);
  const strippedWithOrganisations = new Set([
    ...strippedFields,
    ...listOrganisationFields(names.organisation),
  ]);
  return {
    readIdentity: (request) => ({
      method: request.method ?? 'GET',
      host: findField(request.rawHeaders, 'host') ?? '',
      path: request.url ?? '/',
      remainingMs: readDeadlineMs(request),
    }),
    buildHeaders: ({ rawHeaders }, { organisations }, organisation) => {
      const dropped = organisations === undefined ? stripped : strippedWithOrganisations;
      const headers = selectEndToEnd(rawHeaders, dropped);
      headers.push(names.callerService, callerService);
      if (organisation !== undefined)
        headers.push(names.organisation, formatOrganisationField(organisation.name));
      return headers;
    },
  };

  /** Reads the time that the caller will wait, in milliseconds. */
  function readDeadlineMs(request: IncomingMessage): number {
    const text = findField(request.rawHeaders, names.deadline);
    const remainingMs = Number(text ?? '');
    return remainingMs > 0 ? Math.min(remainingMs, MAX_DEADLINE_MS) : MAX_DEADLINE_MS;
  }
}

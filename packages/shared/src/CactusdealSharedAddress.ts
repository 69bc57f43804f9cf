/** A host and a port to dial or to listen at. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses `HOST:PORT`; an IPv6 host may stand in brackets. */
export function parseAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

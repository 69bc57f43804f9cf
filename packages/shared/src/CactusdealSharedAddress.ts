/** A host and a port to connect to or to listen on. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses `HOST:PORT`; an IPv6 host may be in square brackets. Does not validate either part. */
export function parseAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

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

/** Host and port of an address; port 80 if it names none. */
export function toSocketTarget(address: string): Address {
  const { hostname, port } = new URL(`http://${address}`);
  return { host: hostname.replace(/^\[|\]$/g, ''), port: Number(port || '80') };
}

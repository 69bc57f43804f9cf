import { isIP } from 'node:net';

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

const MAX_PORT = 65_535;

/** Whether the value is `IP:PORT` with a port that can be connected to. */
export function isSocketAddress(value: unknown): value is string {
  if (typeof value !== 'string' || !/:\d{1,5}$/.test(value)) return false;
  const { host, port } = parseAddress(value);
  return isIP(host) !== 0 && port > 0 && port <= MAX_PORT;
}

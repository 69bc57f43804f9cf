import type { Route, Service } from '@cactusdeal/schema';

/** A service of a body with the workers that serve it. */
export interface DemoService {
  readonly name: string;
  readonly workers: number;
  /** Service time of a request, in milliseconds. */
  readonly serviceMs: number;
  readonly definition: Service;
}

/** A kind of call with its route, and how many callers make in an ordinary minute. */
export interface DemoCall {
  /** Name of the route and of its class. */
  readonly name: string;
  readonly route: Route;
  readonly callsPerSecond: number;
  /** Bytes of the request's body. */
  readonly bodyBytes: number;
  /** Bytes of filler in the answer. */
  readonly answerBytes: number;
}

/** A public body: its data centres, services and calls. */
export interface DemoBody {
  readonly name: string;
  readonly dataCentres: readonly string[];
  /** One-way delay between data centres, in milliseconds. */
  readonly delayMs: number;
  readonly slots: number;
  readonly services: readonly DemoService[];
  readonly calls: readonly DemoCall[];
  /** The call that floods in, and how many times the fleet's capacity of it. */
  readonly flood: { readonly call: string; readonly timesCapacity: number };
  /** The service whose weights the operator changes and one of whose workers is drained. */
  readonly changedService: string;
}

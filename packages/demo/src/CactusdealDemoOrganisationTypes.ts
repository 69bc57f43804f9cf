import type { Route, Service } from '@cactusdeal/schema';

/** A service of an organisation and the workers that serve it. */
export interface DemoService {
  readonly name: string;
  /** Number of workers, spread over the data centres. */
  readonly workers: number;
  /** Service time of a request, in milliseconds. */
  readonly serviceMs: number;
  readonly definition: Service;
}

/** A class of calls with its route and its rate under normal load. */
export interface DemoCall {
  /** Name of the route and of its class. */
  readonly name: string;
  readonly route: Route;
  readonly callsPerSecond: number;
  /** Size of the request body, in bytes. */
  readonly bodyBytes: number;
  /** Size of the filler in the response body, in bytes. */
  readonly answerBytes: number;
}

/** An organisation: its data centres, services and classes of calls. */
export interface DemoOrganisation {
  readonly name: string;
  readonly dataCentres: readonly string[];
  /** One-way delay between data centres, in milliseconds. */
  readonly delayMs: number;
  readonly slotsPerWorker: number;
  readonly services: readonly DemoService[];
  readonly calls: readonly DemoCall[];
  /**
   * The class of calls that floods, and its rate as a multiple of what its service's workers can
   * serve.
   */
  readonly flood: { readonly call: string; readonly capacityMultiple: number };
  /** The service whose weights the operator changes, and of which the operator drains a worker. */
  readonly reconfiguredService: string;
}

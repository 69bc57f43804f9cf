import {
  type CallResult,
  type CallSpec,
  explainWrongResponse,
  sendCall,
} from './CactusdealTestingCall.js';
import type { Host, RunRecord } from './CactusdealTestingClusterTypes.js';

const OUTCOME_NOT_RUN = 'not-run';
const MAX_VIOLATIONS = 20;

/** Records the results of calls and compares them with the requests that upstreams ran. */
export interface Ledger {
  /** Sends a call to the host's daemon and records the result. */
  send(host: Pick<Host, 'callsAddress'>, spec: CallSpec): Promise<CallResult>;
  /** Records the result of a call that was sent elsewhere. */
  record(result: CallResult): void;
  getResults(): readonly CallResult[];
  /**
   * Lists violations of the system's guarantees, 20 at most: a response that is incomplete or belongs
   * to another call, a call that was refused as not run although an upstream ran it, and an
   * idempotency key that ran more than once. Calls that may run more than once must not carry a key.
   */
  collectViolations(hosts: readonly Host[]): Promise<readonly string[]>;
}

/** Creates a ledger without calls. */
export function createLedger(): Ledger {
  const results: CallResult[] = [];
  return {
    send: async (host, spec) => {
      const result = await sendCall(host.callsAddress, spec);
      results.push(result);
      return result;
    },
    record: (result) => {
      results.push(result);
    },
    getResults: () => results,
    collectViolations: async (hosts) => {
      const withUpstream = hosts.filter(({ worker }) => worker !== undefined);
      const runs = (await Promise.all(withUpstream.map((host) => host.collectRuns()))).flat();
      return [
        ...results.flatMap(listWrongResponses),
        ...listFalseRefusals(results, runs),
        ...listRepeatedKeys(results, runs),
      ].slice(0, MAX_VIOLATIONS);
    },
  };
}

function listWrongResponses(result: CallResult): string[] {
  const wrong = explainWrongResponse(result);
  return wrong === undefined ? [] : [`response to ${result.spec.requestId}: ${wrong}`];
}

/** Lists calls that were refused as not run although an upstream ran them. */
function listFalseRefusals(results: readonly CallResult[], runs: readonly RunRecord[]): string[] {
  const ran = new Map(runs.map((run) => [run.requestId, run.worker]));
  return results
    .filter(({ outcome, spec }) => outcome === OUTCOME_NOT_RUN && ran.has(spec.requestId))
    .map(({ refusal, spec }) => {
      const worker = ran.get(spec.requestId);
      return `call ${spec.requestId} was refused as not run (${refusal}) but ran at ${worker}`;
    });
}

/** Lists idempotency keys of the recorded calls that upstreams ran more than once. */
function listRepeatedKeys(results: readonly CallResult[], runs: readonly RunRecord[]): string[] {
  const keys = new Set(results.map(({ spec }) => spec.idempotencyKey));
  const workersOfKey = new Map<string, string[]>();
  const keyed = runs.filter(({ idempotencyKey }) => keys.has(idempotencyKey));
  keyed.forEach(({ idempotencyKey, worker }) => {
    workersOfKey.set(idempotencyKey, [...(workersOfKey.get(idempotencyKey) ?? []), worker]);
  });
  return [...workersOfKey]
    .filter(([, workers]) => workers.length > 1)
    .map(
      ([key, workers]) =>
        `idempotency key ${key} ran ${workers.length} times, at ${workers.join(', ')}`,
    );
}

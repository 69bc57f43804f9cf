import {
  type CallResult,
  type CallSpec,
  explainWrongResponse,
  sendCall,
} from './CactusdealTestingCall.js';
import type { Host, RunRecord } from './CactusdealTestingClusterTypes.js';

const OUTCOME_NOT_RUN = 'not-run';
const MAX_VIOLATIONS = 20;

/** Keeps every call that was made through it, for a comparison with what upstreams ran. */
export interface Ledger {
  /** Sends a call to the host's daemon and keeps the result. */
  send(host: Pick<Host, 'callsAddress'>, spec: CallSpec): Promise<CallResult>;
  record(result: CallResult): void;
  getResults(): readonly CallResult[];
  /**
   * Lists what should never be: an answer that is not whole or not the call's own, a call refused as
   * not run that ran, and an idempotency key that ran twice. Only calls that may run at most once
   * should carry a key.
   */
  collectBreaches(hosts: readonly Host[]): Promise<readonly string[]>;
}

/** Creates an empty ledger. */
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
    collectBreaches: async (hosts) => {
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
  return wrong === undefined ? [] : [`answer to ${result.spec.requestId}: ${wrong}`];
}

function listFalseRefusals(results: readonly CallResult[], runs: readonly RunRecord[]): string[] {
  const ran = new Map(runs.map((run) => [run.requestId, run.worker]));
  return results
    .filter(({ outcome, spec }) => outcome === OUTCOME_NOT_RUN && ran.has(spec.requestId))
    .map(({ refusal, spec }) => {
      const worker = ran.get(spec.requestId);
      return `${spec.requestId} was refused as not run (${refusal}) but ran at ${worker}`;
    });
}

function listRepeatedKeys(results: readonly CallResult[], runs: readonly RunRecord[]): string[] {
  const keys = new Set(results.map(({ spec }) => spec.idempotencyKey));
  const workersOfKey = new Map<string, string[]>();
  const keyed = runs.filter(({ idempotencyKey }) => keys.has(idempotencyKey));
  keyed.forEach(({ idempotencyKey, worker }) => {
    workersOfKey.set(idempotencyKey, [...(workersOfKey.get(idempotencyKey) ?? []), worker]);
  });
  return [...workersOfKey]
    .filter(([, workers]) => workers.length > 1)
    .map(([key, workers]) => `key ${key} ran ${workers.length} times: ${workers.join(', ')}`);
}

import { runOverload, type OverloadReport } from './CactusdealRelayBenchOverload.js';
import { RELAY_POLICY, FIFO_POLICY } from './CactusdealRelayBenchOverloadPolicies.js';

/**
 * Command `bench:overload`: compares the relay's admission control and balancing with plain FIFO
 * queues, in virtual time.
 */

const LOADS = [1, 1.5, 2.5, 5] as const;
const SEED = 20_261_204;

const reports = LOADS.flatMap((load) =>
  [RELAY_POLICY, FIFO_POLICY].map((policy) => runOverload(policy, load, SEED)),
);
reports.forEach((report) => process.stdout.write(`${formatReport(report)}\n`));
process.stdout.write(`${JSON.stringify({ bench: 'overload', seed: SEED, reports })}\n`);

function formatReport(report: OverloadReport): string {
  const { policy, load, worthKept, worstKind, worstDataCentre, refused, refusalDelayMs } = report;
  const worst = `worst kind ${worstKind.name} ${worstKind.worthKept}, worst data centre ${worstDataCentre.name} ${worstDataCentre.worthKept}`;
  const late = `refused ${refused}, after ${refusalDelayMs.p50} ms (p99 ${refusalDelayMs.p99} ms)`;
  return `${load}x ${policy}: worth ${worthKept}, ${worst}, ${late}`;
}

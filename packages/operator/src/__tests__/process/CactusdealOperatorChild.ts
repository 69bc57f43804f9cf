/**
 * Child process of the tests. `confirm URL PLAN OPERATOR` confirms a plan and prints the outcome;
 * `read URL MEMBER` runs a reader and prints each version in force until SIGTERM.
 */
import { createConfigurationHolder } from '@cactusdeal/configuration';
import { createHttpPlatform } from '@cactusdeal/platform';
import { createSilentLog, getMonotonicMs } from '@cactusdeal/shared';
import { confirmPlan, createReaderLease, runCheckpointer, runLogReader } from '../../index.js';

const LEASE_MS = 300;
const LIMITS = { entriesPerGeneration: 2, generations: 2 };

const [command, url, name, operator] = process.argv.slice(2) as [string, string, string, string];
const platform = createHttpPlatform({ url, timeoutMs: 1000, callsPerSecond: 500 });
if (command === 'confirm') {
  const result = await confirmPlan(platform, name, operator);
  print({ outcome: result.caseOf({ Left: ({ kind }) => kind, Right: () => 'accepted' }) });
  await platform.close();
} else {
  await runReader();
}

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function runReader(): Promise<void> {
  const holder = createConfigurationHolder();
  const stop = new AbortController();
  process.once('SIGTERM', () => stop.abort());
  const log = createSilentLog();
  const common = { platform, signal: stop.signal, log, clock: getMonotonicMs, leaseMs: LEASE_MS };
  const member = { memberId: name, meshAddress: '127.0.0.1:1' };
  holder.observe((snapshot) => print({ version: snapshot.version, hash: holder.getHash() }));
  const reader = createReaderLease({ ...common, ...member, dataCentre: 'west', slots: 1 });
  const isReader = reader.isHolding;
  await Promise.all([
    runLogReader({
      ...common,
      watchMs: 200,
      target: {
        getHeadVersion: holder.getHeadVersion,
        getSnapshot: holder.getSnapshot,
        acceptEntry: (entry) => holder.applyEntry(entry),
        acceptSnapshot: (snapshot, hash) => holder.replaceSnapshot(snapshot, hash),
      },
    }),
    runCheckpointer({
      ...common,
      source: holder,
      holder: member,
      isReader,
      intervalMs: 20,
      limits: LIMITS,
    }),
  ]);
  await reader.close();
  await platform.close();
}

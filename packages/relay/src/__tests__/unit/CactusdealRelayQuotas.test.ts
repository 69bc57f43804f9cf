import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { waitMs } from '@cactusdeal/shared';
import { buildConfiguration, buildOrganisation, buildRule } from '../CactusdealRelayFixtures.js';
import {
  type CallerAnswer,
  sendCall,
  startCluster,
  type TestCluster,
  type TestHost,
} from '../CactusdealRelayTestCluster.js';

const LIMITED = { key: 'l1' };
const UNLIMITED = { key: 'u1' };
const POLL_MS = 5;
const MOST_CALLS = 20_000;
const LATER_CALLS = 50;

const configuration = {
  ...buildConfiguration([buildRule()]),
  organisations: [
    buildOrganisation({ name: 'limited', keys: [LIMITED.key], callsPerSecond: 10, burst: 10 }),
    buildOrganisation({ name: 'unlimited', keys: [UNLIMITED.key], callsPerSecond: 0, burst: 0 }),
  ],
};

async function waitForCoordinators({ hosts }: TestCluster): Promise<void> {
  for (;;) {
    const texts = await Promise.all(hosts.map(({ relay }) => relay.metrics.render()));
    if (texts.every((text) => text.includes('cactusdeal_quota_isolated 0'))) return;
    await waitMs(POLL_MS);
  }
}

/** Sends calls to the entries in turn until each has refused one; returns the refusals. */
async function sendUntilRefused(entries: readonly TestHost[]): Promise<readonly CallerAnswer[]> {
  const refusals = new Map<TestHost, CallerAnswer>();
  for (let count = 0; refusals.size < entries.length; count += 1) {
    assert.ok(count < MOST_CALLS, 'each entry refuses a call in the end');
    const entry = entries[count % entries.length] as TestHost;
    const answer = await sendCall(entry, { ...LIMITED, id: `c${count}` });
    if (answer.status === 429) refusals.set(entry, answer);
  }
  return [...refusals.values()];
}

describe('a quota over the entries of two data centres', () => {
  it('is refused with 429 and retry-after at each entry, while other calls are served', async (context) => {
    const cluster = await startCluster(
      configuration,
      ['records', 'records', 'records'],
      undefined,
      (index) => (index === 2 ? 'east' : 'west'),
    );
    context.after(() => cluster.close());
    const [, first, second] = cluster.hosts as [TestHost, TestHost, TestHost];
    await waitForCoordinators(cluster);
    const refusals = await sendUntilRefused([first, second]);
    refusals.forEach(({ headers }) => assert.ok(Number(headers['retry-after']) > 0));
    let later = 0;
    for (let count = 0; count < LATER_CALLS; count += 1) {
      const { status } = await sendCall(count % 2 === 0 ? first : second, LIMITED);
      later += Number(status === 429);
      assert.equal((await sendCall(first, UNLIMITED)).status, 200);
    }
    assert.ok(later > LATER_CALLS / 2, `${later} of ${LATER_CALLS} refused`);
    const metricsText = await first.relay.metrics.render();
    assert.match(metricsText, /cactusdeal_quota_fraction\{organisation="limited"\} /);
    assert.match(metricsText, /cactusdeal_quota_refused_calls_total\{organisation="limited"\} /);
  });
});

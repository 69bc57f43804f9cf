import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import { NAMES, sendCall, startCluster } from '../CactusdealRelayTestCluster.js';

/** Takes 0.385 s at 1 Mbit/s, so that two of them don't fit into the target of 0.5 s. */
const ANSWER = 'x'.repeat(40 * 1024);
const REFUSED = /cactusdeal_uplink_refused_total [1-9]/;

describe('daemons with a narrow uplink', () => {
  // Guards against late answers to all callers, and against a limit on calls that stay on the host.
  it('refuse large answers that do not fit, only to callers of other hosts', async (context) => {
    const configuration = buildConfiguration([buildRule({ hasLargeAnswers: true })]);
    const services = ['records', 'shop'];
    const cluster = await startCluster(configuration, services, undefined, undefined, 1);
    context.after(() => cluster.close());
    const [records, shop] = cluster.hosts;
    assert.ok(records !== undefined && shop !== undefined);
    records.serve = (request, response) => {
      const id = String(request.headers[NAMES.callId]);
      response.writeHead(200, { [NAMES.signature]: 'yes', [NAMES.callId]: id });
      response.end(ANSWER);
    };
    const send = (host: typeof shop, from: string) =>
      Promise.all([1, 2, 3, 4].map((index) => sendCall(host, { id: `${from}${index}` })));
    const own = await send(records, 'own');
    assert.ok(own.every(({ status, body }) => status === 200 && body === ANSWER));
    assert.doesNotMatch(await records.relay.metrics.render(), REFUSED);
    const remote = await send(shop, 'remote');
    const answered = remote.filter(({ status }) => status === 200);
    assert.ok(answered.length > 0 && answered.length < remote.length);
    assert.ok(answered.every(({ body }) => body === ANSWER));
    assert.match(await records.relay.metrics.render(), REFUSED);
  });
});

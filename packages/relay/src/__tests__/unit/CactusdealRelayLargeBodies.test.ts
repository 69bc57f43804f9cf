import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';
import { answerOk, sendCall, startCluster, type TestHost } from '../CactusdealRelayTestCluster.js';

const BODY_BYTES = 100_000;
const BODIES_OF_EACH_HOST = 3;
/** Bandwidth of each host, in Mbit/s; it grants a third of a body at once. */
const UPLINK_MBPS = 10;

interface LargeBodiesCase {
  readonly name: string;
  readonly uplinkMbps: number | undefined;
}

const cases: readonly LargeBodiesCase[] = [
  { name: 'with grants', uplinkMbps: UPLINK_MBPS },
  { name: 'without a known bandwidth', uplinkMbps: undefined },
];

describe('large bodies from several daemons to one', () => {
  cases.forEach(({ name, uplinkMbps }) => {
    // Guards against bodies that are cut, mixed up or never granted to their end.
    it(`arrive whole, ${name}`, async (context) => {
      const rule = buildRule({
        idempotent: false,
        hasLargeBodies: true,
        targetMs: 5_000,
        timeoutMs: 10_000,
      });
      const services = ['desk', 'desk', 'records'];
      const configuration = buildConfiguration([rule]);
      const cluster = await startCluster(configuration, services, undefined, undefined, uplinkMbps);
      context.after(() => cluster.close());
      const [first, second, records] = cluster.hosts as [TestHost, TestHost, TestHost];
      records.sendHeartbeat({ capacity: 10 });
      const bodies: string[] = [];
      records.serve = (request, response) => {
        let body = '';
        request.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        request.on('end', () => {
          bodies.push(body);
          answerOk(request, response);
        });
      };
      const sent = [first, second].flatMap((host, hostIndex) =>
        Array.from({ length: BODIES_OF_EACH_HOST }, (_, index) => ({
          host,
          body: `${hostIndex}${index}`.repeat(BODY_BYTES / 2),
        })),
      );
      const answers = await Promise.all(
        sent.map(({ host, body }) =>
          sendCall(host, { id: body.slice(0, 2), method: 'POST', body, remainingMs: 10_000 }),
        ),
      );
      assert.deepEqual(
        answers.map(({ status }) => status),
        sent.map(() => 200),
      );
      assert.deepEqual(bodies.sort(), sent.map(({ body }) => body).sort());
    });
  });
});

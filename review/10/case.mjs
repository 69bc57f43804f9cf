// A worker that crashes, is back under its id and leaves: does the daemon that acknowledges it stop sending?
import { buildConfiguration, runCase, startMesh, wait, waitUntil } from '../lib-2/mesh.mjs';

/** With them one worker of eight crashes (0.125). */
const OTHERS = ['m3', 'm4', 'm5', 'm6', 'm7', 'm8', 'm9'];
const DRAIN_MS = 2_000;
const DOWN_MS = 1_000;
const LEAVE_AFTER_MS = 400;
/** The first ping of the new lifetime is late, and arrives after its DELETE. */
const PING_DELAY_MS = 2_500;
/** Time that the worker goes on serving after `drain_ms`; then it exits. */
const EXTRA_MS = 1_500;
const SERVICE_MS = 300;
const CALL_GAP_MS = 50;

await runCase(async ({ record, hasTrouble }) => {
  const mesh = await startMesh(
    {
      machines: [
        { node: 'm1', zone: 'z1', service: 'front' },
        { node: 'm2', zone: 'z1', service: 'archive' },
        ...OTHERS.map((node, index) => ({ node, zone: `z${2 + (index % 2)}`, service: 'archive' })),
      ],
      configuration: buildConfiguration(
        7,
        { r1: { prefix: '/a/', service: 'archive', kind: 'non_idempotent' } },
        ['front', 'archive'],
      ),
    },
    record,
  );
  const [front, { worker: leaver }] = mesh.machines;
  mesh.setWorkers({ serviceMs: () => SERVICE_MS });
  await mesh.ping();
  await wait(1_500);
  if ((await mesh.send(front, 'first')).status !== 200) throw new Error('no service at the start');

  // The worker has just sent a ping when it crashes.
  const pings = leaver.sequence;
  await waitUntil(() => leaver.sequence > pings, 'a ping');
  await wait(100);
  leaver.isSilent = true;
  if (hasTrouble) {
    leaver.stop();
    record(`${leaver.id} crashes`);
    await wait(DOWN_MS);
    await leaver.start(leaver.id);
    record(`${leaver.id} is back under its id, born ${leaver.born}`);
    const { born } = leaver;
    setTimeout(async () => {
      const status = await leaver.ping({ born, sequence: 1 });
      record(`first ping of the new lifetime, ${PING_DELAY_MS} ms late: ${status}`);
    }, PING_DELAY_MS);
    await wait(LEAVE_AFTER_MS);
  }
  const acknowledged = await leaver.leave();
  const acknowledgedAtMs = performance.now();
  record(`DELETE of ${leaver.id}: ${acknowledged}; the worker serves on for some seconds`);
  if (acknowledged !== 200) throw new Error('the worker got no acknowledgement');

  await wait(DRAIN_MS);
  const runsBefore = leaver.runs.length;
  const calls = [];
  while (performance.now() - acknowledgedAtMs < DRAIN_MS + EXTRA_MS) {
    calls.push(mesh.send(front, `call-${calls.length + 1}`, { method: 'POST' }));
    await wait(CALL_GAP_MS);
  }
  leaver.stop();
  record(`${leaver.id} exits`);
  const answers = await Promise.all(calls);
  const reached = leaver.runs.length - runsBefore;
  const lost = answers.filter(({ status }) => status === 0 || status === 502);
  record(`calls sent later than ${DRAIN_MS} ms after the acknowledgement: ${calls.length}`);
  record(`of them run by the worker that has left: ${reached}; lost with its exit: ${lost.length}`);
  await mesh.close();
  return reached === 0;
});

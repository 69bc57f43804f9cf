// A planned stop while a caller has yet to read its answers: does it get all of them?
import { connect } from 'node:net';
import { buildConfiguration, runCase, startMesh, wait, waitUntil } from '../lib-2/mesh.mjs';

/** Inside the largest `archive-download` of balado-trv-grown (540,000 bytes). */
const ANSWER_BYTES = 500_000;
const IDS = Array.from({ length: 16 }, (_, index) => `download-${index + 1}`);
const DEADLINE_MS = 4_000;
/** The caller reads nothing until then. */
const READ_AFTER_MS = 3_000;
const STOP_AFTER_MS = 200;
const LINK_MBPS = 10;
const ENTRY_PORT = 8304;

await runCase(async ({ record, hasTrouble }) => {
  const mesh = await startMesh(
    {
      machines: [
        { node: 'm1', zone: 'z1', service: 'front' },
        { node: 'm2', zone: 'z1', service: 'archive' },
        { node: 'm3', zone: 'z2', service: 'archive' },
      ],
      configuration: buildConfiguration(
        7,
        { r1: { prefix: '/a/', service: 'archive', kind: 'download' } },
        ['front', 'archive'],
      ),
      fields: { 'limits.bandwidth_mbps': LINK_MBPS },
    },
    record,
  );
  const [, busy] = mesh.machines;
  mesh.setWorkers({
    buildBody: ({ path }) =>
      path.startsWith('/a/whole') ? Buffer.alloc(ANSWER_BYTES, 97) : Buffer.from('ok'),
  });
  await mesh.ping();
  await wait(1_500);
  if ((await mesh.send(busy, 'first')).status !== 200) throw new Error('no service at the start');

  const startedAtMs = performance.now();
  const received = [];
  const socket = connect(ENTRY_PORT, busy.ip);
  socket.pause();
  socket.on('data', (bytes) => received.push(bytes));
  socket.on('error', ({ message }) => record(`connection: ${message}`));
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  IDS.forEach((id) =>
    record(`send ${id} to ${busy.node}: GET /a/whole, deadline ${DEADLINE_MS} ms`),
  );
  socket.write(IDS.map(buildRequest).join(''));
  await waitUntil(() => IDS.every((id) => busy.worker.ended.has(id)), 'the worker has answered');
  record('the worker has answered all of them');
  await wait(STOP_AFTER_MS);
  if (hasTrouble) busy.daemon.signal('SIGTERM');
  await wait(startedAtMs + READ_AFTER_MS - performance.now());
  record('the caller reads');
  socket.resume();
  await Promise.race([closed, wait(startedAtMs + DEADLINE_MS - performance.now())]);
  const whole = countWhole(Buffer.concat(received));
  record(`whole answers: ${whole} of ${IDS.length}`);
  socket.destroy();
  await mesh.close();
  return whole === IDS.length;
});

function buildRequest(id) {
  const fields = [
    'Host: mesh.example',
    `X-Request-Id: ${id}`,
    `X-Request-Deadline: ${DEADLINE_MS}`,
  ];
  return `GET /a/whole HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n`;
}

/** Counts the complete answers in what a connection has delivered. */
function countWhole(bytes) {
  let count = 0;
  let rest = bytes;
  for (;;) {
    const end = rest.indexOf('\r\n\r\n');
    if (end < 0) return count;
    const head = rest.subarray(0, end).toString('latin1');
    const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1]);
    const next = end + 4 + length;
    if (!/^HTTP\/1.1 200 /.test(head) || !(rest.length >= next)) return count;
    count += 1;
    rest = rest.subarray(next);
  }
}

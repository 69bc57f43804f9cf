// A client sends requests with two Host fields: do ordinary callers of the service still get answers?
import { connect } from 'node:net';
import { buildConfiguration, runCase, startMesh, wait } from '../lib-2/mesh.mjs';

const BAD_REQUESTS = 5;
const BAD_GAP_MS = 3_000;
const CALL_GAP_MS = 50;
const DEADLINE_MS = 1_000;
const ENTRY_PORT = 8304;

await runCase(async ({ record, hasTrouble }) => {
  const mesh = await startMesh(
    {
      machines: [
        { node: 'm1', zone: 'z1', service: 'front' },
        { node: 'm2', zone: 'z1', service: 'archive' },
        { node: 'm3', zone: 'z2', service: 'archive' },
        { node: 'm4', zone: 'z2', service: 'front' },
        { node: 'm5', zone: 'z1', service: 'archive' },
        { node: 'm6', zone: 'z2', service: 'archive' },
      ],
      configuration: buildConfiguration(7, { r1: { prefix: '/a/', service: 'archive' } }, [
        'front',
        'archive',
      ]),
    },
    record,
  );
  const [near, , , far] = mesh.machines;
  await mesh.ping();
  await wait(2_500);
  if ((await mesh.send(far, 'first')).status !== 200) throw new Error('no service at the start');

  const calls = [];
  const endMs = performance.now() + BAD_REQUESTS * BAD_GAP_MS;
  const loops = [sendOrdinary()];
  if (hasTrouble) loops.push(sendBad());
  await Promise.all(loops);
  const answers = await Promise.all(calls);
  const served = answers.filter(({ status }) => status === 200);
  const refused = answers.filter(({ status }) => status === 503);
  record(`ordinary calls: ${answers.length}, served: ${served.length}, 503: ${refused.length}`);
  await mesh.close();
  return served.length * 4 >= answers.length;

  async function sendOrdinary() {
    while (performance.now() < endMs) {
      const machine = calls.length % 2 === 0 ? near : far;
      calls.push(mesh.send(machine, `call-${calls.length + 1}`, { deadlineMs: DEADLINE_MS }));
      await wait(CALL_GAP_MS);
    }
  }

  async function sendBad() {
    for (let index = 1; index <= BAD_REQUESTS; index += 1) {
      const socket = connect(ENTRY_PORT, near.ip);
      socket.on('error', () => {});
      socket.once('data', (bytes) => {
        record(`answer to bad-${index}: ${bytes.toString('latin1').split('\r\n')[0]}`);
        socket.destroy();
      });
      const fields = ['Host: mesh.example', 'Host: mesh.example', `X-Request-Id: bad-${index}`];
      record(`send bad-${index} to ${near.node}, with two Host fields`);
      socket.write(`GET /a/ HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n`);
      await wait(BAD_GAP_MS);
    }
  }
});

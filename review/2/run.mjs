// A request of one caller crashes each worker that runs it and comes again, at any machine of that caller.
// Another caller sends the same path and body, which workers serve. Judged is how often the first one
// still reaches workers after its third crash.
import { createServer } from 'node:http';
import {
  answerWell,
  buildConfiguration,
  buildHeaders,
  createMachine,
  hasTrouble,
  HEARTBEAT_MS,
  IP,
  runScenario,
  send,
  startStore,
  wait,
} from '../lib/harness.mjs';

const DEADLINE_MS = 2_000;
const WORK_MS = 200;
const SEND_INTERVAL_MS = 40;
/** The worker has run the crashing request for this time when it crashes. */
const CRASH_AFTER_MS = 100;
const WORKER_DOWN_MS = 3_000;
const ODD_INTERVAL_MS = 2_000;
const ODD_REQUESTS = 12;
const STABLE_WINDOW_MS = 3_000;
/** BUDGET is broken by more than this number of further runs. */
const MAX_LATE_RUNS = 3;
const SERVICES = ['pedidos', 'pedidos', 'pedidos', 'registro', 'registro'];
/** The caller whose request crashes workers. */
const ODD_CALLER = 'registro';
const ODD_PATH = '/pedidos/order';
/** Without trouble, the other caller sends another path. */
const OTHER_PATH = hasTrouble ? ODD_PATH : '/pedidos/other';

/** A worker whose process can crash. */
async function startCrashingWorker({ machine, record, observeRun, observeCrash }) {
  let life = 0;
  let born;
  let sequence;
  let server;
  let isDown = false;

  async function ping() {
    if (isDown) return;
    sequence += 1;
    const body = {
      service: machine.service,
      address: `${IP}:${machine.appPort}`,
      zone: machine.zone,
      version: 'v1',
      capacity: 12,
      state: 'ready',
      warmup_left_ms: 0,
      sequence,
      born,
    };
    const path = `/instances/i-${machine.id}-${life}`;
    await send({ port: machine.adminPort, path, method: 'PUT', body: JSON.stringify(body) });
  }

  function crash(id) {
    if (isDown) return;
    isDown = true;
    observeCrash(machine.id, id);
    server.close();
    server.closeAllConnections();
    setTimeout(startLife, WORKER_DOWN_MS);
  }

  async function run(request, response) {
    const { url, headers } = request;
    const id = headers['x-request-id'];
    const ownLife = life;
    if (headers['x-expected-instance'] !== `i-${machine.id}-${life}`) {
      response.writeHead(421, { 'X-Request-Id': id, 'X-Not-Executed': '1' }).end();
      return;
    }
    const isOdd = url === ODD_PATH && headers['x-caller-service'] === ODD_CALLER;
    observeRun(id, isOdd);
    await wait(isOdd ? CRASH_AFTER_MS : WORK_MS);
    if (ownLife !== life || response.destroyed) return;
    if (isOdd) crash(id);
    else answerWell(request, response, 'approved');
  }

  async function startLife() {
    life += 1;
    born = Date.now();
    sequence = 0;
    server = createServer((request, response) => {
      request.resume();
      request.on('end', () => run(request, response));
    });
    await new Promise((resolve) => {
      server.listen(machine.appPort, IP, resolve);
    });
    isDown = false;
    record.add(`the worker of ${machine.id} starts, life ${life}`);
    await ping();
  }

  await startLife();
  const timer = setInterval(ping, HEARTBEAT_MS);
  return {
    close: () => {
      isDown = true;
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}

await runScenario(import.meta.url, async ({ folder, record, defer }) => {
  const store = await startStore(record);
  defer(() => store.close());
  const kind = 'non_idempotent';
  store.writeConfiguration(
    buildConfiguration('r1', [
      { service: 'pedidos', kind, timeoutMs: DEADLINE_MS },
      { service: 'registro', kind, timeoutMs: DEADLINE_MS },
    ]),
  );
  const machines = [];
  const crashes = [];
  const oddRuns = [];
  const begun = new Set();
  for (const [index, service] of SERVICES.entries()) {
    const id = `sidecar-${index + 1}`;
    const machine = await createMachine({ id, service, store, folder, record });
    machines.push(machine);
    defer(() => machine.stop());
    machine.start();
  }
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));
  for (const machine of machines) {
    const worker = await startCrashingWorker({
      machine,
      record,
      observeRun: (id, isOdd) => {
        begun.add(id);
        record.add(`${id} begins to run at ${machine.id}`);
        if (!isOdd) return;
        oddRuns.push(performance.now());
      },
      observeCrash: (machineId, id) => {
        crashes.push(performance.now());
        record.add(`the worker of ${machineId} crashes, by ${id}`);
      },
    });
    defer(() => worker.close());
  }
  await wait(STABLE_WINDOW_MS + 1_000);

  const sendFrom = (machine, id, path) =>
    send({
      port: machine.entryPort,
      path,
      method: 'POST',
      headers: buildHeaders(id, DEADLINE_MS),
      body: 'order of lamp 7',
      record,
    });
  const callers = machines.filter(({ service }) => service === ODD_CALLER);
  const others = machines.filter(({ service }) => service !== ODD_CALLER);
  let count = 0;
  const lost = [];
  const sendPlain = async () => {
    count += 1;
    const id = `plain-${count}`;
    const { status } = await sendFrom(others[count % others.length], id, OTHER_PATH);
    if (status !== 200 && begun.has(id)) lost.push(id);
  };
  const timer = setInterval(sendPlain, SEND_INTERVAL_MS);
  defer(() => clearInterval(timer));
  await wait(1_000);
  for (let oddCount = 1; oddCount <= ODD_REQUESTS; oddCount += 1) {
    const id = `odd-${oddCount}`;
    sendFrom(callers[oddCount % callers.length], id, ODD_PATH);
    await wait(ODD_INTERVAL_MS);
  }
  clearInterval(timer);
  const judgedFromMs = (crashes[2] ?? Infinity) + STABLE_WINDOW_MS;
  const lateRuns = oddRuns.filter((atMs) => atMs > judgedFromMs).length;
  record.add(
    `crashes: ${crashes.length}; requests of others that were run and lost: ${lost.length}`,
  );
  record.add(`runs later than ${STABLE_WINDOW_MS} ms after the third crash: ${lateRuns}`);
  return lateRuns > MAX_LATE_RUNS;
});

// Runs the deployed program on loopback addresses beside small stand-ins for the platform's store, the
// workers and the requesters. Each script of a case builds its scenario from these parts.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer as createHttpServer, request as sendRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const IP = '127.0.0.1';
const HOST_NAME = 'lantern.example';
const HEARTBEAT_MS = 1_500;
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
/** Exit codes of a script. */
export const Exit = { Held: 0, Broken: 1, NotRun: 2 };

/** Every process that the script has started. */
const children = new Set();
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));
['SIGINT', 'SIGTERM'].forEach((name) => process.on(name, () => process.exit(Exit.NotRun)));

export { wait, IP, HOST_NAME, HEARTBEAT_MS };

/** Whether the script plays its disruption; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Below the range from which the system takes the ports of outgoing connections. */
const MIN_PORT = 12_000;
const MAX_PORT = 30_000;

function isFree(port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, IP, () => {
      server.close(() => resolve(true));
    });
  });
}

const takenPorts = new Set();

/** Finds `count` free ports in a row. */
async function findPortsInRow(count) {
  for (;;) {
    const first = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT));
    const ports = Array.from({ length: count }, (_, index) => first + index);
    if (ports.some((port) => takenPorts.has(port))) continue;
    const checks = await Promise.all(ports.map(isFree));
    if (!checks.every(Boolean)) continue;
    ports.forEach((port) => takenPorts.add(port));
    return ports;
  }
}

/** Collects the lines of `record.txt`. */
export function createRecord() {
  const startedAt = performance.now();
  const lines = [];
  return {
    add: (text) => {
      lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
    },
    write: (path) => writeFileSync(path, `${lines.join('\n')}\n`),
  };
}

async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** A store with ranges, watches and unconditional writes, which is all that the program asks of it. */
export async function startStore(record) {
  const items = new Map();
  const changes = [];
  let revision = 1;
  let isClosed = false;
  const [port] = await findPortsInRow(1);

  function change(key, item) {
    if (item === undefined) items.delete(key);
    else items.set(key, item);
    changes.push(item ?? { key, revision, deleted: true });
  }

  function put(key, value) {
    revision += 1;
    change(key, { key, value, revision, created_at: revision, lease: 0 });
  }

  async function watch(query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const endAt = performance.now() + Number(query.get('watch_timeout_ms'));
    const listEvents = () =>
      changes.filter((event) => event.revision > after && event.key.startsWith(prefix));
    while (!isClosed && listEvents().length === 0 && performance.now() < endAt) await wait(10);
    return { events: listEvents(), as_of: revision };
  }

  async function answer(request) {
    const url = new URL(request.url, 'http://store');
    const text = (await readAll(request)).toString();
    if (url.pathname === '/kv-range') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix));
      return { items: found, has_more: false, as_of: revision };
    }
    if (url.pathname === '/kv-watch') return watch(url.searchParams);
    if (url.pathname === '/kv-txn') {
      const { puts = [], remove = [] } = JSON.parse(text);
      puts.forEach(({ key, value }) => put(key, value));
      remove.forEach((key) => {
        revision += 1;
        change(key, undefined);
      });
      return { revision };
    }
    return undefined;
  }

  const server = createHttpServer((request, response) => {
    answer(request).then((body) => {
      response.writeHead(body === undefined ? 404 : 200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body ?? {}));
    });
  });
  await new Promise((resolve) => {
    server.listen(port, IP, resolve);
  });
  return {
    address: `${IP}:${port}`,
    writeConfiguration: (configuration) => {
      record.add(`operator writes ${configuration.version}`);
      put('op/config', Buffer.from(JSON.stringify(configuration)).toString('base64'));
    },
    close: () => {
      isClosed = true;
      server.close();
      server.closeAllConnections();
    },
  };
}

/** A configuration with one route for each service, `/SERVICE/`. */
export function buildConfiguration(version, routes) {
  const rows = routes.map(
    ({ service, kind, timeoutMs = 2_000, targetMs = 1_500, attempts = 2 }) => [
      service,
      {
        host: HOST_NAME,
        prefix: `/${service}/`,
        service,
        kind,
        timeout_ms: timeoutMs,
        target_latency_ms: targetMs,
        priority: 1,
        max_attempts: attempts,
      },
    ],
  );
  const services = routes.map(({ service }) => [
    service,
    { health_path: '/health', max_connections: 110 },
  ]);
  return {
    version,
    routes: Object.fromEntries(rows),
    services: Object.fromEntries(services),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 10_000,
    },
  };
}

function readRunLine() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Fills in the template of the deploy file as the platform does. */
function renderSettings(fields) {
  const template = readFileSync(join(ROOT, 'deploy/settings.template.toml'), 'utf8');
  return template.replaceAll(/\{\{([\w.]+)\|json\}\}/g, (_, name) =>
    JSON.stringify(fields[name] ?? null),
  );
}

/** Prepares one machine: the addresses, the settings file and the daemon's process. */
export async function createMachine({ id, service, zone = 'ovd-centro', store, folder, record }) {
  const [entry, readiness, admin, app] = await findPortsInRow(4);
  // One for links, the next for metrics.
  const ports = await findPortsInRow(2);
  const path = join(folder, `${id}.toml`);
  const fields = {
    node: id,
    zone,
    service,
    heartbeat_ms: HEARTBEAT_MS,
    'bounds.grace_s': 6,
    'bind.outbound': `${IP}:${entry}`,
    'bind.readiness': `${IP}:${readiness}`,
    'bind.admin': `${IP}:${admin}`,
    ip: IP,
    port_range: ports,
    app_addr: `${IP}:${app}`,
    'platform.address': store.address,
  };
  writeFileSync(path, renderSettings(fields));
  let child;
  let exited;
  const machine = {
    id,
    service,
    zone,
    entryPort: entry,
    adminPort: admin,
    appPort: app,
    output: '',
    start: () => {
      const [program, ...words] = readRunLine();
      const command = program === 'node' ? process.execPath : program;
      child = spawn(command, words, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, CACTUSDEAL_CONFIG: path },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      const started = child;
      children.add(started);
      record.add(`${id} starts`);
      [child.stdout, child.stderr].forEach((stream) => {
        stream.on('data', (chunk) => {
          machine.output += chunk;
        });
      });
      exited = new Promise((resolve) => {
        child.once('exit', (code, signal) => {
          children.delete(started);
          record.add(`${id} ends, code ${code}, signal ${signal}`);
          resolve();
        });
      });
    },
    isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
    signal: (name) => {
      record.add(`${id} gets ${name}`);
      child.kill(name);
    },
    waitForExit: () => exited,
    isReady: async () => {
      const { status } = await send({ port: readiness, path: '/readiness' });
      return status === 200;
    },
    waitUntilReady: async () => {
      const endAt = performance.now() + READY_TIMEOUT_MS;
      while (!(await machine.isReady())) {
        if (performance.now() > endAt) throw new Error(`${id} isn't ready`);
        await wait(POLL_MS);
      }
      record.add(`${id} is ready`);
    },
    /** Kills the process if it still runs. */
    stop: async () => {
      if (!machine.isRunning()) return;
      child.kill('SIGKILL');
      await exited;
    },
  };
  return machine;
}

/**
 * Sends one request on a new connection, or on one of `agent`; status 0 if no whole answer came. With a
 * record, it says when the request is sent and answered.
 */
export function send({ port, path, method = 'GET', headers = {}, body, agent = false, record }) {
  const id = headers['X-Request-Id'];
  record?.add(`${id} is sent to port ${port}: ${method} ${path}`);
  const outgoing = sendRequest({ host: IP, port, path, method, agent, headers });
  return new Promise((resolve) => {
    const finish = (end) => {
      const error = end.error === undefined ? '' : `, ${end.error}`;
      record?.add(`${id} ended: status ${end.status}${error}`);
      resolve({ ...end, isReused: outgoing.reusedSocket });
    };
    const fail = (error) => finish({ status: 0, headers: {}, body: '', error: error.code });
    outgoing.on('response', (response) => {
      response.on('error', fail);
      readAll(response).then(
        (bytes) =>
          finish({ status: response.statusCode, headers: response.headers, body: `${bytes}` }),
        fail,
      );
    });
    outgoing.on('error', fail);
    outgoing.end(body);
  });
}

/** Header fields of a requester's attempt. */
export function buildHeaders(id, deadlineMs) {
  return { Host: HOST_NAME, 'X-Request-Id': id, 'X-Request-Deadline': String(deadlineMs) };
}

/** The worker of a machine: its pings, and how it answers a request that it runs. */
export async function startWorker({ machine, record, instance, run, capacity = 12 }) {
  const born = Date.now();
  let sequence = 0;
  let timer;
  const server = createHttpServer((request, response) => {
    const id = request.headers['x-request-id'];
    if (request.headers['x-expected-instance'] !== instance) {
      response.writeHead(421, { 'X-Request-Id': id, 'X-Not-Executed': '1' }).end();
      return;
    }
    readAll(request).then(
      () => {
        record.add(`${instance} runs ${id}`);
        return run(request, response);
      },
      () => {},
    );
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(machine.appPort, IP, resolve);
  });
  const worker = {
    instance,
    /** Builds the next ping without sending it. */
    buildPing: (state) => {
      sequence += 1;
      return JSON.stringify({
        service: machine.service,
        address: `${IP}:${machine.appPort}`,
        zone: machine.zone,
        version: 'v1',
        capacity,
        state,
        warmup_left_ms: 0,
        sequence,
        born,
      });
    },
    sendPing: async (body) => {
      const path = `/instances/${instance}`;
      const { status } = await send({ port: machine.adminPort, path, method: 'PUT', body });
      return status;
    },
    /** Pings now and at each interval. */
    startPings: () => {
      const ping = () => worker.sendPing(worker.buildPing('ready'));
      ping();
      timer = setInterval(ping, HEARTBEAT_MS);
    },
    stopPings: () => clearInterval(timer),
    /** Says that it leaves; resolves to the status of the answer. */
    sendLeave: async () => {
      const path = `/instances/${instance}`;
      const body = JSON.stringify({ born });
      const { status } = await send({ port: machine.adminPort, path, method: 'DELETE', body });
      return status;
    },
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
  return worker;
}

/** Writes a success with the seal and the id of the request. */
export function answerWell(request, response, body) {
  response.writeHead(200, {
    'X-Request-Id': request.headers['x-request-id'],
    'X-Response-Seal': 'seal',
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
}

/**
 * Runs a scenario and ends the script with its exit code. The scenario gets a folder and a record, and
 * resolves to whether the rule was broken; it registers what has to be closed with `defer`.
 */
export async function runScenario(caseUrl, scenario) {
  const folder = mkdtempSync(join(tmpdir(), 'cactusdeal-review-'));
  const record = createRecord();
  const closers = [];
  let code = Exit.NotRun;
  try {
    const isBroken = await scenario({ folder, record, defer: (close) => closers.push(close) });
    code = isBroken ? Exit.Broken : Exit.Held;
  } catch (caught) {
    record.add(`the case couldn't run: ${caught.message}`);
  }
  await Promise.all(closers.reverse().map((close) => close()));
  const names = { 0: 'the rule held', 1: 'the rule was broken', 2: "the case couldn't run" };
  record.add(`result: ${names[code]}; disruption played: ${hasTrouble}`);
  record.write(fileURLToPath(new URL('record.txt', caseUrl)));
  rmSync(folder, { recursive: true, force: true });
  process.stdout.write(`${names[code]}\n`);
  process.exit(code);
}

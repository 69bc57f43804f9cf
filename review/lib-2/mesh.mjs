// Stand-ins of the users' platform for the cases 6 to 10: the store, workers, requesters and the
// processes of the deploy file. They use Node.js alone and run on loopback addresses only.
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

export { wait };

/** Exit codes of a case. */
export const Outcome = { Held: 0, Broken: 1, NotRun: 2 };

const PORTS = { store: 8309, entry: 8304, inbound: 8300, readiness: 8302, admin: 8306, app: 8301 };
const PORT_RANGE = [7620, 7635];
const POLL_MS = 20;
const WAIT_LIMIT_MS = 20_000;

/** Writes lines with the time since the start to the record of a case. */
export function createRecord(path) {
  const startedAtMs = performance.now();
  const file = openSync(path, 'w');
  return (text) => {
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(3);
    writeSync(file, `${seconds} ${text}\n`);
  };
}

export async function waitUntil(condition, description, limitMs = WAIT_LIMIT_MS) {
  const endMs = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`not met in time: ${description}`);
    await wait(POLL_MS);
  }
}

function listen(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

function readBody(stream) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    stream.on('data', (chunk) => chunks.push(chunk));
    stream.on('end', () => resolve(Buffer.concat(chunks)));
    stream.on('error', reject);
    stream.on('aborted', () => reject(new Error('aborted')));
  });
}

/** The store of the platform. `era` 0: it names none. */
export async function startStore(host, { era = 0, delayMs = 4 } = {}) {
  const items = new Map();
  let changes = [];
  let revision = 10;
  let waiters = [];
  let nextLease = 1;
  const leases = new Map();
  const server = http.createServer((request, response) => {
    answer(request, response);
  });
  const store = {
    address: `${host}:${PORTS.store}`,
    era,
    /** Called with each call; answers 'down' to reset it, 'lost' to run it and lose the answer. */
    disturb: () => undefined,
    put: (key, text) => write(key, Buffer.from(text).toString('base64'), 0),
    read: (key) => {
      const item = items.get(key);
      return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  await listen(server, host, PORTS.store);
  return store;

  function write(key, value, lease) {
    const isNew = !items.has(key);
    revision += 1;
    const createdAt = isNew ? revision : items.get(key).created_at;
    const item = { key, value, revision, created_at: createdAt, lease };
    items.set(key, item);
    publish({ ...item });
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    publish({ key, revision, deleted: true });
  }

  function publish(change) {
    changes = [...changes, change].slice(-2_000);
    const woken = waiters;
    waiters = [];
    woken.forEach((wake) => wake());
  }

  async function answer(request, response) {
    try {
      const text = (await readBody(request)).toString() || '{}';
      await wait(delayMs);
      const url = new URL(request.url, 'http://store');
      const fault = store.disturb(request.method, url);
      if (fault === 'down') {
        request.socket.destroy();
        return;
      }
      const [status, body] = await run(request.method, url, JSON.parse(text));
      if (fault === 'lost') {
        request.socket.destroy();
        return;
      }
      const eraField = store.era > 0 ? { 'Store-Era': String(store.era) } : {};
      response.writeHead(status, { 'content-type': 'application/json', ...eraField });
      response.end(JSON.stringify(body));
    } catch {
      request.socket.destroy();
    }
  }

  async function run(method, url, body) {
    const [, name, id] = url.pathname.split('/');
    const query = url.searchParams;
    if (method === 'GET' && name === 'kv-key') {
      const item = items.get(query.get('key'));
      return item === undefined ? [404, { as_of: revision }] : [200, { ...item, as_of: revision }];
    }
    if (method === 'GET' && name === 'kv-range') return listRange(query);
    if (method === 'GET' && name === 'kv-watch') return watch(query);
    if (method === 'POST' && name === 'kv-txn') return commit(body);
    if (method === 'POST' && name === 'kv-lease') return grant(body);
    if (method === 'POST' && name === 'kv-keep') return renew(Number(id));
    if (method === 'DELETE' && name === 'kv-lease-end') return end(Number(id));
    return [404, {}];
  }

  function listRange(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return [200, { items: found.slice(0, 500), has_more: found.length > 500, as_of: revision }];
  }

  async function watch(query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const endMs = performance.now() + Math.min(30_000, Number(query.get('watch_timeout_ms')));
    for (;;) {
      const events = changes.filter((each) => each.revision > after && each.key.startsWith(prefix));
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) return [200, { events, as_of: revision }];
      await waitForChange(leftMs);
    }
  }

  function waitForChange(limitMs) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  function commit({ precondition = [], puts = [], remove: removed = [] }) {
    const isMet = precondition.every(
      ({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) === wanted,
    );
    if (!isMet) {
      const present = precondition.map(({ key }) => items.get(key)).filter(Boolean);
      return [412, { items: present }];
    }
    const keys = [...puts.map(({ key }) => key), ...removed];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}];
    if (puts.some(({ lease }) => lease > 0 && !leases.has(lease))) return [404, {}];
    puts.forEach(({ key, value, lease }) => write(key, value, lease ?? 0));
    removed.forEach(remove);
    return [200, { revision }];
  }

  function grant({ ttl_ms: ttlMs }) {
    const lease = nextLease;
    nextLease += 1;
    leases.set(lease, { ttlMs, timer: setTimeout(() => expire(lease), ttlMs) });
    return [200, { lease, ttl_ms: ttlMs }];
  }

  function renew(lease) {
    const held = leases.get(lease);
    if (held === undefined) return [404, {}];
    clearTimeout(held.timer);
    held.timer = setTimeout(() => expire(lease), held.ttlMs);
    return [200, { lease, ttl_ms: held.ttlMs }];
  }

  function end(lease) {
    const isHeld = leases.has(lease);
    expire(lease);
    return [isHeld ? 200 : 404, {}];
  }

  function expire(lease) {
    clearTimeout(leases.get(lease)?.timer);
    leases.delete(lease);
    [...items.values()].filter((item) => item.lease === lease).forEach(({ key }) => remove(key));
  }
}

/** One worker beside a daemon. It runs requests as the users' page on the protocol says. */
export async function startWorker(machine, record) {
  const { ip, service, zone } = machine;
  const server = http.createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
    serve(request, response);
  });
  // Without it the runtime leaves out all fields of a request behind the thousandth.
  server.maxHeadersCount = 0;
  const worker = {
    id: `i-${machine.node}`,
    born: Date.now(),
    sequence: 0,
    state: 'ready',
    version: 'v1',
    capacity: 12,
    heartbeatMs: 1_500,
    /** Whether it sends no regular pings. */
    isSilent: false,
    /** Requests that the worker began to run: { id, method, path, headers, body }. */
    runs: [],
    /** Ids of the requests whose answers the worker has sent whole. */
    ended: new Set(),
    serviceMs: () => 50,
    buildBody: (run) => Buffer.from(`${service} ${run.id}`),
    /** Called before the body of a request is read; answers the request if it returns true. */
    answerEarly: () => false,
    /** Called with each run and its response instead of the usual answer, if it returns true. */
    answerRun: () => false,
    ping,
    leave,
    close,
    /** Ends the process of the worker; its connections are reset. */
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
    /** Starts a new lifetime at the same address. */
    start: async (id) => {
      Object.assign(worker, { id, born: Date.now(), sequence: 0, state: 'ready' });
      await listen(server, ip, PORTS.app);
    },
  };
  await listen(server, ip, PORTS.app);
  const timer = setInterval(() => {
    if (!worker.isSilent) ping();
  }, worker.heartbeatMs);
  return worker;

  async function serve(request, response) {
    const { headers } = request;
    if (worker.answerEarly(request)) return;
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    const id = headers['x-request-id'];
    if (request.url === '/health') {
      response.writeHead(worker.state === 'ready' ? 200 : 503, { 'X-Instance-Id': worker.id });
      response.end();
      return;
    }
    const expected = headers['x-expected-instance'];
    if (id === undefined || (expected !== undefined && expected !== worker.id)) {
      response.writeHead(id === undefined ? 400 : 421, { 'X-Not-Executed': '1' });
      response.end();
      return;
    }
    const run = { id, method: request.method, path: request.url, headers, body };
    worker.runs.push(run);
    record(`run ${id} by ${worker.id} (${service}): ${run.method} ${run.path}`);
    response.once('close', () => {
      if (response.writableFinished) worker.ended.add(id);
      else record(`run ${id} by ${worker.id}: connection closed early`);
    });
    if (worker.answerRun(run, request, response)) return;
    await wait(worker.serviceMs(run));
    const answer = worker.buildBody(run);
    response.writeHead(200, {
      'X-Request-Id': id,
      'X-Response-Seal': `seal.${id}`,
      'Content-Length': answer.length,
    });
    response.end(answer);
  }

  /** Sends one ping; resolves to its status, 0 without an answer. */
  async function ping(changes = {}) {
    worker.sequence += 1;
    const fields = {
      service,
      address: `${ip}:${PORTS.app}`,
      zone,
      version: worker.version,
      capacity: worker.capacity,
      state: worker.state,
      warmup_left_ms: 0,
      sequence: worker.sequence,
      born: worker.born,
      ...changes,
    };
    return call('PUT', JSON.stringify(fields));
  }

  /** Says that the worker is gone. */
  async function leave() {
    clearInterval(timer);
    return call('DELETE', JSON.stringify({ born: worker.born }));
  }

  async function call(method, text) {
    const url = `http://${ip}:${PORTS.admin}/instances/${worker.id}`;
    const { status } = await send(url, { method, body: Buffer.from(text), timeoutMs: 1_000 });
    return status;
  }

  function close() {
    clearInterval(timer);
    server.close();
    server.closeAllConnections();
  }
}

/** Sends a request on a new connection; status 0 if it ends without a whole answer. */
export function send(url, { method = 'GET', headers = {}, body, timeoutMs = 10_000, agent } = {}) {
  return new Promise((resolve) => {
    const startedAtMs = performance.now();
    const finish = (result) =>
      resolve({
        status: 0,
        headers: {},
        body: Buffer.alloc(0),
        ...result,
        ms: performance.now() - startedAtMs,
      });
    const length = body === undefined ? {} : { 'Content-Length': body.length };
    const options = { method, headers: { ...headers, ...length }, agent: agent ?? false };
    const outgoing = http.request(url, options, (response) => {
      const { statusCode: status, headers: fields } = response;
      readBody(response).then(
        (read) => finish({ status, headers: fields, body: read }),
        ({ message }) => finish({ error: `answer ${status} not whole: ${message}` }),
      );
    });
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error('timeout')));
    outgoing.on('error', ({ message }) => finish({ error: message }));
    outgoing.end(body);
  });
}

/** The program of the deploy file on one machine, as a process of its own. */
function createDaemon(machine, { folder, storeAddress, fields }, record) {
  const path = join(folder, `${machine.node}.toml`);
  let child;
  const daemon = {
    output: '',
    start,
    signal: (name) => {
      record(`${name} to ${machine.node}`);
      child?.kill(name);
    },
    isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
    getExit: () => (child === undefined ? undefined : (child.exitCode ?? child.signalCode)),
    pid: () => child?.pid,
    waitForExit: () => waitUntil(() => !daemon.isRunning(), `${machine.node} ends`),
    isReady: async () => {
      const url = `http://${machine.ip}:${PORTS.readiness}/readiness`;
      return (await send(url, { timeoutMs: 1_000 })).status === 200;
    },
  };
  return daemon;

  function start() {
    writeFileSync(path, renderSettings(machine, storeAddress, fields));
    const [program, ...args] = readRunLine().split(' ');
    child = spawn(program, args, {
      env: { PATH: process.env.PATH, HOME: folder, CACTUSDEAL_CONFIG: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = child;
    record(`start of ${machine.node} (${machine.service}, ${machine.zone})`);
    const collect = (chunk) => {
      daemon.output += chunk;
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.once('exit', (code, signal) => {
      record(`end of ${machine.node}: ${signal ?? `exit code ${code}`}`);
      machine.observeEnd?.(code, signal, started);
    });
  }
}

function readRunLine() {
  const line = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
  if (line === null) throw new Error('the deploy file has no run line');
  return line[1];
}

/** Fills in the template of the deploy file, as the platform does. */
function renderSettings(machine, storeAddress, fields) {
  const { node, zone, service, ip } = machine;
  const values = {
    node,
    zone,
    service,
    ip,
    heartbeat_ms: 1_500,
    'bounds.grace_s': 6,
    'limits.memory_mb': 350,
    'limits.bandwidth_mbps': 1_000,
    contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'platform'],
    'bind.inbound': `${ip}:${PORTS.inbound}`,
    'bind.outbound': `${ip}:${PORTS.entry}`,
    'bind.readiness': `${ip}:${PORTS.readiness}`,
    'bind.admin': `${ip}:${PORTS.admin}`,
    port_range: PORT_RANGE,
    app_addr: `${ip}:${PORTS.app}`,
    'platform.address': storeAddress,
    ...fields,
  };
  return readFileSync('deploy/settings.template.toml', 'utf8').replaceAll(
    /\{\{([\w.]+)\|json\}\}/g,
    (_, name) => JSON.stringify(values[name] ?? null),
  );
}

/**
 * Starts a store, and a worker and a daemon on each machine. `machines` is a list of { node, zone,
 * service }; `configuration` is the first version that the operator writes.
 */
export async function startMesh({ machines, configuration, fields = {}, storeOptions }, record) {
  const network = `127.${64 + (process.pid % 128)}.${1 + (Math.floor(process.pid / 128) % 250)}`;
  const folder = mkdtempSync(join(tmpdir(), 'cactusdeal-review-'));
  const store = await startStore(`${network}.250`, storeOptions);
  const mesh = { store, machines: [], setConfiguration, setWorkers, send: sendTo, ping, close };
  const closers = [() => store.close()];
  process.once('exit', killAll);
  if (configuration !== undefined) setConfiguration(configuration);
  for (const [index, given] of machines.entries()) {
    const machine = { ...given, ip: `${network}.${index + 1}` };
    machine.entry = `http://${machine.ip}:${PORTS.entry}`;
    machine.worker = await startWorker(machine, record);
    machine.daemon = createDaemon(machine, { folder, storeAddress: store.address, fields }, record);
    closers.push(() => machine.worker.close());
    mesh.machines.push(machine);
  }
  mesh.machines.forEach(({ daemon }) => daemon.start());
  return mesh;

  function setConfiguration(version) {
    record(`the operator writes ${version.version}`);
    store.put('op/config', JSON.stringify(version));
  }

  /** Changes how all workers behave. */
  function setWorkers(changes) {
    mesh.machines.forEach(({ worker }) => Object.assign(worker, changes));
  }

  /** Waits until all daemons are ready, and pings once for each worker. */
  async function ping() {
    for (const { daemon, worker, node } of mesh.machines) {
      await waitUntil(() => daemon.isReady(), `${node} is ready`);
      await waitUntil(async () => (await worker.ping()) === 200, `${node} accepts a ping`);
    }
  }

  async function sendTo(
    machine,
    id,
    { path = '/a/', deadlineMs = 2_000, headers = {}, ...rest } = {},
  ) {
    const method = rest.method ?? 'GET';
    record(`send ${id} to ${machine.node}: ${method} ${path}, deadline ${deadlineMs} ms`);
    const result = await send(`${machine.entry}${path}`, {
      timeoutMs: deadlineMs + 3_000,
      headers: {
        Host: 'mesh.example',
        'X-Request-Id': id,
        'X-Request-Deadline': String(deadlineMs),
        ...headers,
      },
      ...rest,
    });
    const detail = result.error ?? `${result.body.length} bytes`;
    record(`answer to ${id}: ${result.status} after ${Math.round(result.ms)} ms, ${detail}`);
    return result;
  }

  function killAll() {
    mesh.machines.forEach(({ daemon }) => daemon.isRunning() && daemon.signal('SIGKILL'));
  }

  async function close() {
    killAll();
    await Promise.all(mesh.machines.map(({ daemon }) => daemon.waitForExit()));
    closers.forEach((closeOne) => closeOne());
    rmSync(folder, { recursive: true, force: true });
  }
}

/** A configuration of the operator with one host; `routes` and `services` are tables by name. */
export function buildConfiguration(version, routes, services, changes = {}) {
  const table = Object.entries(routes).map(([name, route]) => [
    name,
    {
      host: 'mesh.example',
      kind: 'idempotent',
      timeout_ms: 10_000,
      target_latency_ms: 600,
      priority: 1,
      max_attempts: 2,
      ...route,
    },
  ]);
  return {
    version: `r${version}`,
    routes: Object.fromEntries(table),
    services: Object.fromEntries(services.map((name) => [name, { health_path: '/health' }])),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    ...changes,
  };
}

/** Runs a case: `play` returns true if the rule held. Ends with the exit code of the outcome. */
export async function runCase(play) {
  const folder = process.argv[2];
  const record = createRecord(join(folder, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  record(`disruption: ${hasTrouble ? 'on' : 'off'}`);
  let outcome = Outcome.NotRun;
  const abandon = (reason) => {
    record(`the case could not run: ${reason}`);
    process.exit(Outcome.NotRun);
  };
  ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.once(signal, () => abandon(signal)));
  process.once('uncaughtException', ({ stack }) => abandon(stack));
  try {
    outcome = (await play({ record, hasTrouble })) ? Outcome.Held : Outcome.Broken;
  } catch (caught) {
    record(`the case could not run: ${caught.message}`);
    console.error(caught.message);
  }
  record(`outcome: ${outcome}`);
  console.log(['held', 'broken', 'not run'][outcome]);
  process.exit(outcome);
}

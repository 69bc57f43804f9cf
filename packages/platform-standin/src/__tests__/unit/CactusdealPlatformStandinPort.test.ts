import assert from 'node:assert/strict';
import { describe, it, type TestContext } from 'node:test';
import {
  createHttpPlatform,
  createMemoryPlatform,
  MAX_VALUE_BYTES,
  type Platform,
  PlatformFailureKind,
} from '@cactusdeal/platform';
import { type Fault, FaultMode, type PlatformStandin, startPlatformStandin } from '../../index.js';

const VALUE = new Uint8Array([1, 2, 3]);
const OTHER_VALUE = new Uint8Array([4]);

interface PlatformUnderTest {
  readonly platform: Platform;
  /** Moves the clock that decides when leases expire. */
  readonly advance: (durationMs: number) => void;
}

const IMPLEMENTATIONS: readonly {
  readonly name: string;
  readonly create: (context: TestContext) => Promise<PlatformUnderTest>;
}[] = [
  { name: 'in memory', create: async () => createInMemory() },
  { name: 'over HTTP', create: createOverHttp },
];

IMPLEMENTATIONS.forEach(({ name, create }) => {
  describe(`platform ${name}`, () => {
    it('creates a key only once, and swaps and removes it only at the expected revision', async (context) => {
      const { platform } = await create(context);
      const refused = await platform.createIfAbsent('a space', VALUE);
      assert.equal(refused.swap().unsafeCoerce().kind, PlatformFailureKind.NotDone);
      const created = (await platform.createIfAbsent('a/b?c', VALUE)).unsafeCoerce();
      assert.ok(created.written);
      const { revision } = created;
      assert.deepEqual((await platform.createIfAbsent('a/b?c', OTHER_VALUE)).unsafeCoerce(), {
        written: false,
        current: { value: VALUE, revision },
      });
      const swapped = (
        await platform.compareAndSwap('a/b?c', revision, OTHER_VALUE)
      ).unsafeCoerce();
      assert.ok(swapped.written && swapped.revision > revision);
      assert.equal(
        (await platform.compareAndSwap('a/b?c', revision, VALUE)).unsafeCoerce().written,
        false,
      );
      assert.equal((await platform.remove('a/b?c', revision)).unsafeCoerce().written, false);
      assert.ok((await platform.remove('a/b?c', swapped.revision)).unsafeCoerce().written);
      assert.equal((await platform.get('a/b?c')).unsafeCoerce(), undefined);
    });

    it('removes the keys of a lease when it expires without being renewed', async (context) => {
      const { platform, advance } = await create(context);
      const { id } = (await platform.grantLease(1000)).unsafeCoerce();
      assert.ok((await platform.createIfAbsent('leased', VALUE, id)).unsafeCoerce().written);
      advance(900);
      assert.equal((await platform.renewLease(id)).unsafeCoerce(), true);
      advance(900);
      assert.ok((await platform.get('leased')).unsafeCoerce() !== undefined);
      advance(100);
      assert.equal((await platform.get('leased')).unsafeCoerce(), undefined);
      assert.equal((await platform.renewLease(id)).unsafeCoerce(), false);
      const late = await platform.createIfAbsent('leased', VALUE, id);
      assert.equal(late.swap().unsafeCoerce().kind, PlatformFailureKind.NotDone);
    });

    it('answers a watch at once, on a write, and without a record after its wait', async (context) => {
      const { platform } = await create(context);
      assert.equal((await platform.watch('w', 0, 1)).unsafeCoerce(), undefined);
      const waiting = platform.watch('w', 0, 60_000);
      const created = (await platform.createIfAbsent('w', VALUE)).unsafeCoerce();
      assert.ok(created.written);
      const { revision } = created;
      assert.deepEqual((await waiting).unsafeCoerce(), { value: VALUE, revision });
      assert.equal((await platform.watch('w', 0, 60_000)).unsafeCoerce()?.revision, revision);
      const stop = new AbortController();
      const cancelled = platform.watch('w', revision, 60_000, stop.signal);
      stop.abort();
      assert.ok((await cancelled).isLeft());
    });

    it('accepts a value of the largest size and refuses one byte more', async (context) => {
      const { platform } = await create(context);
      const largest = new Uint8Array(MAX_VALUE_BYTES);
      assert.ok((await platform.createIfAbsent('large', largest)).unsafeCoerce().written);
      assert.equal((await platform.get('large')).unsafeCoerce()?.value.byteLength, MAX_VALUE_BYTES);
      const beyond = await platform.createIfAbsent('beyond', new Uint8Array(MAX_VALUE_BYTES + 1));
      assert.equal(beyond.swap().unsafeCoerce().kind, PlatformFailureKind.NotDone);
    });
  });
});

interface FaultCase {
  readonly fault: Fault;
  /** Kind of the failure; undefined when the write succeeds. */
  readonly kind: string | undefined;
  /** Whether the write takes effect. */
  readonly isWritten: boolean;
}

const FAULTS: readonly FaultCase[] = [
  { fault: { mode: FaultMode.None }, kind: undefined, isWritten: true },
  { fault: { mode: FaultMode.Down }, kind: PlatformFailureKind.NotDone, isWritten: false },
  { fault: { mode: FaultMode.Silent }, kind: PlatformFailureKind.Unknown, isWritten: false },
  { fault: { mode: FaultMode.Slow, delayMs: 10 }, kind: undefined, isWritten: true },
  {
    fault: { mode: FaultMode.Slow, delayMs: 60_000 },
    kind: PlatformFailureKind.Unknown,
    isWritten: false,
  },
  { fault: { mode: FaultMode.LoseAnswer }, kind: PlatformFailureKind.Unknown, isWritten: true },
  {
    fault: { mode: FaultMode.Limit, callsPerSecond: 0 },
    kind: PlatformFailureKind.NotDone,
    isWritten: false,
  },
  { fault: { mode: FaultMode.Down, keyPrefix: 'other/' }, kind: undefined, isWritten: true },
  { fault: { mode: FaultMode.Down, remaining: 0 }, kind: undefined, isWritten: true },
];

describe('platform stand-in', () => {
  FAULTS.forEach(({ fault, kind, isWritten }) => {
    it(`makes a write ${kind ?? 'succeed'} with ${JSON.stringify(fault)}`, async (context) => {
      const { standin, platform } = await startStandinAndClient(context, 200);
      await sendFault(standin, fault);
      const result = await platform.createIfAbsent('log/1', VALUE);
      const failure = result.swap().toMaybe().extract();
      assert.equal(failure?.kind, kind);
      await sendFault(standin, { mode: FaultMode.None });
      assert.equal((await platform.get('log/1')).unsafeCoerce() !== undefined, isWritten);
    });
  });

  it('closes waiting watches when the fault down is set, and refuses connections once closed', async (context) => {
    const { standin, platform } = await startStandinAndClient(context, 5_000);
    const watching = platform.watch('w', 0, 2_000);
    await waitUntil(() => standin.getCounts().waitingWatches === 1);
    standin.setFault({ mode: FaultMode.Down });
    assert.ok((await watching).isLeft());
    await waitUntil(() => standin.getCounts().waitingWatches === 0);
    const fresh = createHttpPlatform({ url: standin.url, timeoutMs: 1000, callsPerSecond: 10 });
    await standin.close();
    assert.equal((await fresh.get('w')).swap().unsafeCoerce().kind, PlatformFailureKind.NotDone);
    await fresh.close();
  });

  it('counts each call once, including watches, by operation and by key prefix', async (context) => {
    const { standin, platform } = await startStandinAndClient(context, 1000);
    await platform.createIfAbsent('log/1', VALUE);
    await platform.get('log/1');
    await platform.get('plan/1');
    await platform.watch('log/2', 0, 1);
    await platform.grantLease(1000);
    const response = await fetch(`${standin.url}/control/counts`);
    assert.deepEqual(await response.json(), {
      total: 5,
      byOperation: { put: 1, get: 2, watch: 1, lease: 1 },
      byPrefix: { log: 3, plan: 1 },
      waitingWatches: 0,
    });
  });

  const INVALID_COMMANDS = [
    'no JSON',
    '{"mode":"unknown"}',
    '{"mode":"slow","delayMs":-1}',
    'null',
  ];
  INVALID_COMMANDS.forEach((body) => {
    it(`refuses the fault command ${body}`, async (context) => {
      const { standin } = await startStandinAndClient(context, 1000);
      const response = await fetch(`${standin.url}/control/fault`, { method: 'POST', body });
      assert.equal(response.status, 400);
    });
  });
});

describe('call budget', () => {
  it('refuses calls beyond the rate before they are sent', async (context) => {
    const standin = await startStandin(context);
    const clock = () => 0;
    const options = { url: standin.url, timeoutMs: 1000, callsPerSecond: 2, clock };
    const platform = createHttpPlatform(options);
    context.after(() => platform.close());
    const results = [await platform.get('a'), await platform.get('a'), await platform.get('a')];
    assert.deepEqual(
      results.map((result) => result.isRight()),
      [true, true, false],
    );
    assert.equal(results[2]?.swap().unsafeCoerce().kind, PlatformFailureKind.NotDone);
    assert.equal(standin.getCounts().total, 2);
  });
});

function createInMemory(): PlatformUnderTest {
  let nowMs = 0;
  const advance = (durationMs: number) => {
    nowMs += durationMs;
  };
  return { platform: createMemoryPlatform({ clock: () => nowMs }), advance };
}

async function createOverHttp(context: TestContext): Promise<PlatformUnderTest> {
  let nowMs = 0;
  const standin = await startStandin(context, () => nowMs);
  const platform = createHttpPlatform({ url: standin.url, timeoutMs: 5000, callsPerSecond: 1000 });
  context.after(() => platform.close());
  const advance = (durationMs: number) => {
    nowMs += durationMs;
  };
  return { platform, advance };
}

async function startStandin(context: TestContext, clock?: () => number): Promise<PlatformStandin> {
  const options = { host: '127.0.0.1', port: 0 };
  const standin = await startPlatformStandin(clock === undefined ? options : { ...options, clock });
  context.after(() => standin.close());
  return standin;
}

async function startStandinAndClient(
  context: TestContext,
  timeoutMs: number,
): Promise<{ standin: PlatformStandin; platform: Platform }> {
  const standin = await startStandin(context);
  const platform = createHttpPlatform({ url: standin.url, timeoutMs, callsPerSecond: 1000 });
  context.after(() => platform.close());
  return { standin, platform };
}

async function sendFault(standin: PlatformStandin, fault: Fault): Promise<void> {
  const body = JSON.stringify(fault);
  const response = await fetch(`${standin.url}/control/fault`, { method: 'POST', body });
  assert.equal(response.status, 200);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let polls = 0; polls < 1000; polls += 1) {
    if (condition()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  assert.fail('the condition did not hold after 1000 polls of 5 ms');
}

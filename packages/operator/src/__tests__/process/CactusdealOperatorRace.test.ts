import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { describe, it, type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import { createConfigurationHolder } from '@cactusdeal/configuration';
import { createHttpPlatform, type Platform } from '@cactusdeal/platform';
import { type Fault, startPlatformStandin } from '@cactusdeal/platform-standin';
import { loadLatestConfiguration, readReaders } from '../../index.js';
import {
  acceptChange,
  buildChange,
  createLoggedHolder,
  planStored,
  readLoggedPlanId,
} from '../CactusdealOperatorSamples.js';

const CHILD = fileURLToPath(new URL('CactusdealOperatorChild.js', import.meta.url));
const POLL_MS = 10;
const MAX_POLLS = 1000;

interface Child {
  readonly process: ChildProcess;
  readonly lines: Record<string, unknown>[];
}

const CONFIRM_FAULTS: readonly { readonly name: string; readonly fault: Fault }[] = [
  { name: 'no fault', fault: { mode: 'none' } },
  { name: 'one lost answer', fault: { mode: 'loseAnswer', remaining: 1, keyPrefix: 'log/' } },
  { name: 'three lost answers', fault: { mode: 'loseAnswer', remaining: 3, keyPrefix: 'log/' } },
  { name: 'slow answers', fault: { mode: 'slow', delayMs: 40 } },
  {
    name: 'a call that is never answered',
    fault: { mode: 'silent', remaining: 1, keyPrefix: 'log/' },
  },
  {
    name: 'an outage after the plans are stored',
    fault: { mode: 'down', remaining: 1, keyPrefix: 'log/' },
  },
];

describe('two operators in separate processes', () => {
  CONFIRM_FAULTS.forEach(({ name, fault }) => {
    it(`get one plan accepted with ${name}, and both outcomes by confirming again`, async (context) => {
      const { platform, url, setFault } = await startPlatform(context);
      const holder = await createLoggedHolder(platform, 1);
      await planStored(platform, holder, buildChange(50), 'b');
      await planStored(platform, holder, buildChange(60), 'c');
      setFault(fault);
      const first = await confirmBoth(context, url);
      assert.ok(first.filter((outcome) => outcome === 'accepted').length <= 1, String(first));
      setFault({ mode: 'none' });
      const again = await confirmBoth(context, url);
      assert.deepEqual([...again].sort(), ['PlanStale', 'accepted']);
      first.forEach((outcome, index) => {
        if (outcome === 'accepted') assert.equal(again[index], 'accepted');
        if (outcome === 'PlanStale') assert.equal(again[index], 'PlanStale');
      });
      assert.equal(await readLoggedPlanId(platform, 2), ['b', 'c'][again.indexOf('accepted')]);
      assert.equal(await readLoggedPlanId(platform, 3), undefined);
    });
  });
});

describe('a reader that is paused until its lease expires', () => {
  it('reaches the newest version in rising order and leaves the checkpoint intact', async (context) => {
    const { platform, url } = await startPlatform(context);
    const holder = await createLoggedHolder(platform, 2);
    const paused = startChild(context, ['read', url, 'paused']);
    await waitUntil(async () => isReader(platform, 'paused'));
    await waitUntil(async () => hasVersion(paused, 2));
    paused.process.kill('SIGSTOP');
    const other = startChild(context, ['read', url, 'other']);
    await waitUntil(async () => isReader(platform, 'other'));
    for (let version = 3; version <= 9; version += 1) {
      await acceptChange(platform, holder, buildChange(version));
      await waitUntil(async () => hasVersion(other, version));
    }
    paused.process.kill('SIGCONT');
    await acceptChange(platform, holder, buildChange(10));
    await waitUntil(async () => hasVersion(paused, 10) && hasVersion(other, 10));
    assert.ok(await isReader(platform, 'other'));
    [paused, other].forEach((child) => assertVersionsRise(child));
    assert.equal(paused.lines.at(-1)?.hash, holder.getHash());
    await assertLoadGives(platform, holder.getHash());
  });
});

async function startPlatform(context: TestContext): Promise<{
  platform: Platform;
  url: string;
  setFault: (fault: Fault) => void;
}> {
  const standin = await startPlatformStandin({ host: '127.0.0.1', port: 0 });
  const { url, setFault } = standin;
  const platform = createHttpPlatform({ url, timeoutMs: 1000, callsPerSecond: 1000 });
  context.after(async () => {
    await platform.close();
    await standin.close();
  });
  return { platform, url, setFault };
}

async function confirmBoth(context: TestContext, url: string): Promise<unknown[]> {
  const children = ['b', 'c'].map((id) => startChild(context, ['confirm', url, id, id]));
  await waitUntil(async () => children.every(({ lines }) => lines.length === 1));
  return children.map(({ lines }) => lines[0]?.outcome);
}

function startChild(context: TestContext, args: readonly string[]): Child {
  const child = spawn(process.execPath, [CHILD, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
  const lines: Record<string, unknown>[] = [];
  createInterface({ input: child.stdout }).on('line', (line) => {
    lines.push(JSON.parse(line) as Record<string, unknown>);
  });
  context.after(() => child.kill('SIGKILL'));
  return { process: child, lines };
}

async function isReader(platform: Platform, memberId: string): Promise<boolean> {
  const [reader] = await readReaders(platform, 'west', 1);
  return reader?.memberId === memberId;
}

function hasVersion(child: Child, version: number): boolean {
  return Number(child.lines.at(-1)?.version ?? 0) >= version;
}

function assertVersionsRise({ lines }: Child): void {
  const versions = lines.map(({ version }) => Number(version));
  versions.slice(1).forEach((version, index) => assert.ok(version > (versions[index] as number)));
}

async function assertLoadGives(platform: Platform, hash: string): Promise<void> {
  const start = (await loadLatestConfiguration(platform)).unsafeCoerce();
  const started = createConfigurationHolder();
  if (start.snapshot.version > 0) started.replaceSnapshot(start.snapshot, start.hash);
  start.entries.forEach((entry) => started.applyEntry(entry));
  assert.equal(started.getHash(), hash);
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    if (await condition()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  assert.fail(`the condition did not hold within ${MAX_POLLS} polls`);
}

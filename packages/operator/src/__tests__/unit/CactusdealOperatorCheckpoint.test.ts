import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type ConfigurationHolder, createConfigurationHolder } from '@cactusdeal/configuration';
import { createMemoryPlatform, type Platform } from '@cactusdeal/platform';
import { Right } from 'purify-ts';
import {
  createCheckpointWriter,
  getLogKey,
  LoadFailureKind,
  loadLatestConfiguration,
  loadVersion,
  MANIFEST_KEY,
  readHistory,
  type LatestConfiguration,
} from '../../index.js';
import {
  acceptChange,
  buildChange,
  createLoggedHolder,
  readLoggedPlanId,
} from '../CactusdealOperatorSamples.js';
import { CallFault, type ObservedCall, wrapPlatform } from '../CactusdealOperatorTestPlatform.js';

const LIMITS = { entriesPerGeneration: 4, generations: 2 };

describe('checkpoint', () => {
  for (const count of [0, 1, 3, 4, 9, 20]) {
    it(`brings a starting daemon to version ${count} in at most three reads`, async () => {
      const platform = createMemoryPlatform();
      const holder = await writeVersions(platform, count);
      const calls: ObservedCall[] = [];
      const counted = wrapPlatform(platform, (call) => {
        calls.push(call);
        return CallFault.None;
      });
      const started = createStartedHolder((await loadLatestConfiguration(counted)).unsafeCoerce());
      assert.equal(started.getHash(), holder.getHash());
      assert.equal(started.getHeadVersion(), count);
      assert.ok(calls.length <= 3, JSON.stringify(calls));
    });
  }

  it('lets a starting daemon replay and reject an unreadable log entry', async () => {
    const platform = createMemoryPlatform();
    const holder = await writeVersions(platform, 5);
    await platform.createIfAbsent(getLogKey(6), new TextEncoder().encode('no entry'));
    const start = (await loadLatestConfiguration(platform)).unsafeCoerce();
    const started = createStartedHolder(start);
    assert.equal(started.getHeadVersion(), 6);
    assert.equal(started.getHash(), holder.getHash());
    assert.deepEqual(
      started.getRejections().map(({ version }) => version),
      [6],
    );
  });

  it('trims the log up to the oldest snapshot that it keeps, and no further', async () => {
    const platform = createMemoryPlatform();
    await writeVersions(platform, 20);
    const start = (await loadLatestConfiguration(platform)).unsafeCoerce();
    const kept = await Promise.all(
      Array.from({ length: 20 }, (_, index) => readLoggedPlanId(platform, index + 1)),
    );
    const oldest = kept.findIndex((planId) => planId !== undefined) + 1;
    assert.ok(oldest > 1 && oldest <= start.snapshot.version);
    assert.ok(kept.slice(oldest - 1).every((planId) => planId !== undefined));
    const history = (await readHistory(platform, { limit: 100 })).unsafeCoerce();
    assert.deepEqual(
      history.map(({ version }) => version),
      Array.from({ length: 21 - oldest }, (_, index) => 20 - index),
    );
  });

  it('rebuilds each version that it keeps, and reports older ones as trimmed', async () => {
    const platform = createMemoryPlatform();
    await writeVersions(platform, 20);
    const found: unknown[] = [];
    for (let version = 1; version <= 20; version += 1) {
      const loaded = await loadVersion(platform, version);
      const content = loaded.map(({ services }): unknown => services.records?.queueLimit);
      found.push(content.chainLeft(({ kind }) => Right(kind)).extract());
    }
    const trimmed = found.filter((item) => item === LoadFailureKind.Trimmed).length;
    assert.ok(trimmed > 0 && trimmed < 20);
    assert.deepEqual(
      found.slice(trimmed),
      Array.from({ length: 20 - trimmed }, (_, index) => trimmed + index + 1),
    );
  });

  it('stays loadable with two concurrent writers and a fault in any call of one', async () => {
    for (let step = 0; step < 24; step += 1) {
      for (const fault of [CallFault.Refused, CallFault.LostBefore, CallFault.LostAfter]) {
        await checkTwoWriters(step, fault);
      }
    }
  });

  it('keeps the shards of a manifest that was written although the answer was lost', async () => {
    const platform = createMemoryPlatform();
    const holder = await createLoggedHolder(platform, 1);
    const faulty = wrapPlatform(platform, ({ operation, key }) =>
      key === MANIFEST_KEY && operation !== 'get' ? CallFault.LostAfter : CallFault.None,
    );
    const writer = createCheckpointWriter(faulty, holder, LIMITS);
    for (let version = 2; version <= 9; version += 1) {
      await acceptChange(platform, holder, buildChange(version));
      assert.ok((await writer.write()).isLeft());
      const started = createStartedHolder((await loadLatestConfiguration(platform)).unsafeCoerce());
      assert.equal(started.getHash(), holder.getHash());
    }
  });

  const CORRUPTIONS = [
    { name: 'a missing shard', damage: removeShard },
    { name: 'a shard with different content', damage: replaceShard },
    { name: 'a malformed manifest', damage: replaceManifest },
  ];
  CORRUPTIONS.forEach(({ name, damage }) => {
    it(`fails to load as corrupt with ${name}`, async () => {
      const platform = createMemoryPlatform();
      await writeVersions(platform, 9);
      await damage(platform);
      const loaded = await loadLatestConfiguration(platform);
      assert.equal(loaded.swap().unsafeCoerce().kind, LoadFailureKind.Corrupt);
    });
  });
});

async function writeVersions(platform: Platform, count: number): Promise<ConfigurationHolder> {
  const holder = await createLoggedHolder(platform, Math.min(count, 1));
  const writer = createCheckpointWriter(platform, holder, LIMITS);
  await writer.write();
  while (holder.getHeadVersion() < count) {
    await acceptChange(platform, holder, buildChange(holder.getHeadVersion() + 1));
    (await writer.write()).unsafeCoerce();
  }
  return holder;
}

function createStartedHolder({
  snapshot,
  hash,
  entries,
}: LatestConfiguration): ConfigurationHolder {
  const holder = createConfigurationHolder();
  if (snapshot.version > 0) holder.replaceSnapshot(snapshot, hash).unsafeCoerce();
  entries.forEach((entry) => holder.applyEntry(entry));
  return holder;
}

/**
 * Runs two writers side by side and injects the fault into one call of the first. After each change,
 * a load from the platform has to give the newest configuration.
 */
async function checkTwoWriters(step: number, fault: CallFault): Promise<void> {
  const platform = createMemoryPlatform();
  const holder = await createLoggedHolder(platform, 1);
  let calls = 0;
  const faulty = wrapPlatform(platform, ({ key }) => {
    if (!key.startsWith('checkpoint/')) return CallFault.None;
    calls += 1;
    return calls === step ? fault : CallFault.None;
  });
  const writers = [faulty, platform].map((over) => createCheckpointWriter(over, holder, LIMITS));
  for (let version = 2; version <= 14; version += 1) {
    await acceptChange(platform, holder, buildChange(version));
    await Promise.all(writers.map((writer) => writer.write()));
    const started = createStartedHolder((await loadLatestConfiguration(platform)).unsafeCoerce());
    assert.equal(started.getHash(), holder.getHash(), `${fault} at ${step}, version ${version}`);
  }
}

async function readShardKey(platform: Platform): Promise<string> {
  const record = (await platform.get(MANIFEST_KEY)).unsafeCoerce();
  const text = new TextDecoder().decode(record?.value);
  const [key] = /checkpoint\/shard\/[^"]+/.exec(text) ?? [];
  assert.ok(key !== undefined);
  return key;
}

async function removeShard(platform: Platform): Promise<void> {
  const key = await readShardKey(platform);
  const record = (await platform.get(key)).unsafeCoerce();
  await platform.remove(key, record?.revision ?? 0);
}

async function replaceShard(platform: Platform): Promise<void> {
  const key = await readShardKey(platform);
  const record = (await platform.get(key)).unsafeCoerce();
  await platform.compareAndSwap(key, record?.revision ?? 0, new Uint8Array([1, 2, 3]));
}

async function replaceManifest(platform: Platform): Promise<void> {
  const record = (await platform.get(MANIFEST_KEY)).unsafeCoerce();
  const value = new TextEncoder().encode('{"headVersion":"many"}');
  await platform.compareAndSwap(MANIFEST_KEY, record?.revision ?? 0, value);
}

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type ConfigurationHolder, createConfigurationHolder } from '@cactusdeal/configuration';
import { createMemoryPlatform, type Platform } from '@cactusdeal/platform';
import { Right } from 'purify-ts';
import {
  createCheckpointWriter,
  getLogKey,
  LoadFailureKind,
  loadStart,
  loadVersion,
  MANIFEST_KEY,
  readHistory,
  type Start,
} from '../../index.js';
import {
  acceptChange,
  buildChange,
  createLogged,
  readLogged,
} from '../CactusdealOperatorSamples.js';
import { CallFault, type SeenCall, wrapPlatform } from '../CactusdealOperatorTestPlatform.js';

const LIMITS = { entriesPerGeneration: 4, generations: 2 };

describe('checkpoint', () => {
  for (const count of [0, 1, 3, 4, 9, 20]) {
    it(`starts a daemon at version ${count} as the log would, in few reads`, async () => {
      const platform = createMemoryPlatform();
      const holder = await writeVersions(platform, count);
      const calls: SeenCall[] = [];
      const counted = wrapPlatform(platform, (call) => {
        calls.push(call);
        return CallFault.None;
      });
      const started = createStarted((await loadStart(counted)).unsafeCoerce());
      assert.equal(started.getHash(), holder.getHash());
      assert.equal(started.getHeadVersion(), count);
      assert.ok(calls.length <= 3, JSON.stringify(calls));
    });
  }

  it('keeps a rejected version in the log that a start replays', async () => {
    const platform = createMemoryPlatform();
    const holder = await writeVersions(platform, 5);
    await platform.createIfAbsent(getLogKey(6), new TextEncoder().encode('no entry'));
    const start = (await loadStart(platform)).unsafeCoerce();
    const started = createStarted(start);
    assert.equal(started.getHeadVersion(), 6);
    assert.equal(started.getHash(), holder.getHash());
    assert.deepEqual(
      started.getRejections().map(({ version }) => version),
      [6],
    );
  });

  it('trims the log behind the oldest snapshot that it keeps, and no further', async () => {
    const platform = createMemoryPlatform();
    await writeVersions(platform, 20);
    const start = (await loadStart(platform)).unsafeCoerce();
    const kept = await Promise.all(
      Array.from({ length: 20 }, (_, index) => readLogged(platform, index + 1)),
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

  it('gives back the content of each version that it keeps, and says which it does not', async () => {
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

  it('survives two writers and the loss of any call: each start is whole', async () => {
    for (let step = 0; step < 24; step += 1) {
      for (const fault of [CallFault.Refused, CallFault.LostBefore, CallFault.LostAfter]) {
        await checkWriters(step, fault);
      }
    }
  });

  it('keeps the shards of a manifest whose answer was lost', async () => {
    const platform = createMemoryPlatform();
    const holder = await createLogged(platform, 1);
    const faulty = wrapPlatform(platform, ({ operation, key }) =>
      key === MANIFEST_KEY && operation !== 'get' ? CallFault.LostAfter : CallFault.None,
    );
    const writer = createCheckpointWriter(faulty, holder, LIMITS);
    for (let version = 2; version <= 9; version += 1) {
      await acceptChange(platform, holder, buildChange(version));
      assert.ok((await writer.write()).isLeft());
      const started = createStarted((await loadStart(platform)).unsafeCoerce());
      assert.equal(started.getHash(), holder.getHash());
    }
  });

  const DAMAGES = [
    { name: 'a shard that is gone', damage: removeShard },
    { name: 'a shard with other content', damage: swapShard },
    { name: 'a manifest that cannot be read', damage: swapManifest },
  ];
  DAMAGES.forEach(({ name, damage }) => {
    it(`says that ${name} does not fit, and starts nothing from it`, async () => {
      const platform = createMemoryPlatform();
      await writeVersions(platform, 9);
      await damage(platform);
      const loaded = await loadStart(platform);
      assert.equal(loaded.swap().unsafeCoerce().kind, LoadFailureKind.Corrupt);
    });
  });
});

async function writeVersions(platform: Platform, count: number): Promise<ConfigurationHolder> {
  const holder = await createLogged(platform, Math.min(count, 1));
  const writer = createCheckpointWriter(platform, holder, LIMITS);
  await writer.write();
  while (holder.getHeadVersion() < count) {
    await acceptChange(platform, holder, buildChange(holder.getHeadVersion() + 1));
    (await writer.write()).unsafeCoerce();
  }
  return holder;
}

function createStarted({ snapshot, hash, entries }: Start): ConfigurationHolder {
  const holder = createConfigurationHolder();
  if (snapshot.version > 0) holder.replaceSnapshot(snapshot, hash).unsafeCoerce();
  entries.forEach((entry) => holder.applyEntry(entry));
  return holder;
}

/** One writer meets a fault at a step; another goes on after it; all the while starts are whole. */
async function checkWriters(step: number, fault: CallFault): Promise<void> {
  const platform = createMemoryPlatform();
  const holder = await createLogged(platform, 1);
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
    const started = createStarted((await loadStart(platform)).unsafeCoerce());
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

async function swapShard(platform: Platform): Promise<void> {
  const key = await readShardKey(platform);
  const record = (await platform.get(key)).unsafeCoerce();
  await platform.compareAndSwap(key, record?.revision ?? 0, new Uint8Array([1, 2, 3]));
}

async function swapManifest(platform: Platform): Promise<void> {
  const record = (await platform.get(MANIFEST_KEY)).unsafeCoerce();
  const value = new TextEncoder().encode('{"headVersion":"many"}');
  await platform.compareAndSwap(MANIFEST_KEY, record?.revision ?? 0, value);
}

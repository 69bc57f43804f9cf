import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type ConfigurationHolder, createConfigurationHolder } from '@cactusdeal/configuration';
import { createMemoryPlatform, type Platform } from '@cactusdeal/platform';
import { createSilentLog } from '@cactusdeal/shared';
import { createCheckpointWriter, getLogKey, runLogReader } from '../../index.js';
import { acceptChange, buildChange, createLoggedHolder } from '../CactusdealOperatorSamples.js';
import { CallFault, type ChooseFault, wrapPlatform } from '../CactusdealOperatorTestPlatform.js';

/** Id of a stale plan, whose entry must not reach any daemon. */
const STALE_PLAN_ID = 'late';
const LIMITS = { entriesPerGeneration: 2, generations: 2 };

interface ReaderCase {
  readonly name: string;
  /** Prepares the platform and returns the holder whose state the reader has to reach. */
  readonly prepare: (platform: Platform) => Promise<ConfigurationHolder>;
  readonly chooseFault?: () => ChooseFault;
  /** Versions that the reading daemon has to reject. */
  readonly rejected?: readonly number[];
}

const CASES: readonly ReaderCase[] = [
  {
    name: 'reads the entries that were accepted before it started',
    prepare: (platform) => createLoggedHolder(platform, 5),
  },
  {
    name: 'continues after a value that is not valid JSON',
    prepare: (platform) => writeUnreadableEntry(platform, 'no JSON'),
    rejected: [3],
  },
  {
    name: 'continues after JSON that does not match the schema',
    prepare: (platform) => writeUnreadableEntry(platform, '{"version":3}'),
    rejected: [3],
  },
  {
    name: 'continues after an entry under the key of another version',
    prepare: async (platform) => {
      const entry = (await createLoggedHolder(createMemoryPlatform(), 2)).getEntriesAfter(1)?.[0];
      return writeUnreadableEntry(platform, JSON.stringify(entry));
    },
    rejected: [3],
  },
  { name: 'loads the checkpoint when the log is trimmed', prepare: writeTrimmedLog },
  {
    name: 'loads the checkpoint when a stale plan has written a trimmed version again',
    prepare: async (platform) => {
      const holder = await writeTrimmedLog(platform);
      const entry = (await createLoggedHolder(createMemoryPlatform(), 1)).getEntriesAfter(0)?.[0];
      const other = { ...entry, planId: STALE_PLAN_ID };
      await platform.createIfAbsent(getLogKey(1), new TextEncoder().encode(JSON.stringify(other)));
      return holder;
    },
  },
  {
    name: 'continues after an outage and intermittent refusals',
    prepare: (platform) => createLoggedHolder(platform, 5),
    chooseFault: () => {
      let calls = 0;
      return () => {
        calls += 1;
        return calls <= 6 || calls % 4 === 0 ? CallFault.Refused : CallFault.None;
      };
    },
  },
];

describe('log reader', () => {
  CASES.forEach(({ name, prepare, chooseFault, rejected }) => {
    it(name, async () => {
      const platform = createMemoryPlatform();
      const expected = await prepare(platform);
      const read = wrapPlatform(platform, chooseFault?.() ?? (() => CallFault.None));
      const holder = createConfigurationHolder();
      await readUntil(read, holder, expected.getHeadVersion());
      assert.equal(holder.getHash(), expected.getHash());
      assert.deepEqual(
        holder.getRejections().map(({ version }) => version),
        rejected ?? [],
      );
    });
  });

  it('passes on entries that are accepted while it waits', async () => {
    const platform = createMemoryPlatform();
    const writer = await createLoggedHolder(platform, 1);
    const holder = createConfigurationHolder();
    const reading = readUntil(platform, holder, 3);
    await acceptChange(platform, writer, buildChange(2));
    await acceptChange(platform, writer, buildChange(3));
    await reading;
    assert.equal(holder.getHash(), writer.getHash());
  });
});

/** Bound on the reader's requests for the head version, after which a test fails. */
const MAX_HEAD_READS = 500;

async function readUntil(
  platform: Platform,
  holder: ConfigurationHolder,
  version: number,
): Promise<void> {
  const stop = new AbortController();
  const stopAtHead = () => {
    if (holder.getHeadVersion() >= version) stop.abort();
  };
  let headReads = 0;
  await runLogReader({
    platform,
    target: {
      getHeadVersion: () => {
        headReads += 1;
        if (headReads > MAX_HEAD_READS) stop.abort();
        return holder.getHeadVersion();
      },
      getSnapshot: holder.getSnapshot,
      acceptEntry: (entry) => {
        assert.notEqual(entry.planId, STALE_PLAN_ID);
        holder.applyEntry(entry);
        stopAtHead();
      },
      acceptSnapshot: (snapshot, hash) => {
        holder.replaceSnapshot(snapshot, hash);
        stopAtHead();
      },
    },
    signal: stop.signal,
    log: createSilentLog(),
    random: () => 0,
    watchMs: 50,
  });
}

/** Writes two valid versions, an unreadable value and a valid version based on the second. */
async function writeUnreadableEntry(
  platform: Platform,
  value: string,
): Promise<ConfigurationHolder> {
  const holder = await createLoggedHolder(platform, 2);
  await platform.createIfAbsent(getLogKey(3), new TextEncoder().encode(value));
  holder.applyEntry({
    version: 3,
    baseVersion: 0,
    planId: 'bad',
    operations: [],
    hash: '0'.repeat(64),
    operator: 'ana',
    acceptedAtMs: 0,
    unreadable: 'marked unreadable by the test',
  });
  await acceptChange(platform, holder, buildChange(4));
  return holder;
}

/** Writes twelve versions and checkpoints after each, so that version 1 is trimmed. */
async function writeTrimmedLog(platform: Platform): Promise<ConfigurationHolder> {
  const holder = await createLoggedHolder(platform, 1);
  const writer = createCheckpointWriter(platform, holder, LIMITS);
  for (let version = 2; version <= 12; version += 1) {
    await acceptChange(platform, holder, buildChange(version));
    (await writer.write()).unsafeCoerce();
  }
  assert.equal((await platform.get(getLogKey(1))).unsafeCoerce(), undefined);
  return holder;
}

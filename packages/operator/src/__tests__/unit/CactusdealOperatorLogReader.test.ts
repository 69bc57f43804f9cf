import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type ConfigurationHolder, createConfigurationHolder } from '@cactusdeal/configuration';
import { createMemoryPlatform, type Platform } from '@cactusdeal/platform';
import { createSilentLog } from '@cactusdeal/shared';
import { createCheckpointWriter, getLogKey, runLogReader } from '../../index.js';
import { acceptChange, buildChange, createLogged } from '../CactusdealOperatorSamples.js';
import { CallFault, type ChooseFault, wrapPlatform } from '../CactusdealOperatorTestPlatform.js';

/** Plan that lost its version, and must reach no daemon. */
const LATE_PLAN_ID = 'late';
const LIMITS = { entriesPerGeneration: 2, generations: 2 };

interface ReaderCase {
  readonly name: string;
  /** Prepares the platform and answers the holder whose state the reader has to reach. */
  readonly prepare: (platform: Platform) => Promise<ConfigurationHolder>;
  readonly chooseFault?: () => ChooseFault;
  /** Versions that the reading daemon keeps out. */
  readonly rejected?: readonly number[];
}

const CASES: readonly ReaderCase[] = [
  {
    name: 'reads what was accepted before it started',
    prepare: (platform) => createLogged(platform, 5),
  },
  {
    name: 'goes past a value that is no entry',
    prepare: (platform) => writeAfterBad(platform, 'no JSON'),
    rejected: [3],
  },
  {
    name: 'goes past JSON that does not fit the schema',
    prepare: (platform) => writeAfterBad(platform, '{"version":3}'),
    rejected: [3],
  },
  {
    name: 'goes past an entry that stands under another version',
    prepare: async (platform) => {
      const entry = (await createLogged(createMemoryPlatform(), 2)).getEntriesAfter(1)?.[0];
      return writeAfterBad(platform, JSON.stringify(entry));
    },
    rejected: [3],
  },
  { name: 'takes the checkpoint where the log is trimmed', prepare: writeTrimmed },
  {
    name: 'takes the checkpoint where a plan that lost wrote a trimmed version again',
    prepare: async (platform) => {
      const holder = await writeTrimmed(platform);
      const entry = (await createLogged(createMemoryPlatform(), 1)).getEntriesAfter(0)?.[0];
      const other = { ...entry, planId: LATE_PLAN_ID };
      await platform.createIfAbsent(getLogKey(1), new TextEncoder().encode(JSON.stringify(other)));
      return holder;
    },
  },
  {
    name: 'goes on after an outage',
    prepare: (platform) => createLogged(platform, 5),
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

  it('hands over what is accepted while it waits', async () => {
    const platform = createMemoryPlatform();
    const writer = await createLogged(platform, 1);
    const holder = createConfigurationHolder();
    const reading = readUntil(platform, holder, 3);
    await acceptChange(platform, writer, buildChange(2));
    await acceptChange(platform, writer, buildChange(3));
    await reading;
    assert.equal(holder.getHash(), writer.getHash());
  });
});

/** Turns of a reader after which a case has failed. */
const MAX_TURNS = 500;

async function readUntil(
  platform: Platform,
  holder: ConfigurationHolder,
  version: number,
): Promise<void> {
  const done = new AbortController();
  const stopAtHead = () => {
    if (holder.getHeadVersion() >= version) done.abort();
  };
  let turns = 0;
  await runLogReader({
    platform,
    target: {
      getHeadVersion: () => {
        turns += 1;
        if (turns > MAX_TURNS) done.abort();
        return holder.getHeadVersion();
      },
      getSnapshot: holder.getSnapshot,
      acceptEntry: (entry) => {
        assert.notEqual(entry.planId, LATE_PLAN_ID);
        holder.applyEntry(entry);
        stopAtHead();
      },
      acceptSnapshot: (snapshot, hash) => {
        holder.replaceSnapshot(snapshot, hash);
        stopAtHead();
      },
    },
    signal: done.signal,
    log: createSilentLog(),
    random: () => 0,
    watchMs: 50,
  });
}

/** Two good versions, a bad value and a good version that builds on the second. */
async function writeAfterBad(platform: Platform, value: string): Promise<ConfigurationHolder> {
  const holder = await createLogged(platform, 2);
  await platform.createIfAbsent(getLogKey(3), new TextEncoder().encode(value));
  holder.applyEntry({
    version: 3,
    baseVersion: 0,
    planId: 'bad',
    operations: [],
    hash: '0'.repeat(64),
    operator: 'ana',
    acceptedAtMs: 0,
    unreadable: 'by the test',
  });
  await acceptChange(platform, holder, buildChange(4));
  return holder;
}

async function writeTrimmed(platform: Platform): Promise<ConfigurationHolder> {
  const holder = await createLogged(platform, 1);
  const writer = createCheckpointWriter(platform, holder, LIMITS);
  for (let version = 2; version <= 12; version += 1) {
    await acceptChange(platform, holder, buildChange(version));
    (await writer.write()).unsafeCoerce();
  }
  assert.equal((await platform.get(getLogKey(1))).unsafeCoerce(), undefined);
  return holder;
}

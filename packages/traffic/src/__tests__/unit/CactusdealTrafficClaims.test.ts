import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildNotDoneFailure, createMemoryPlatform, type Platform } from '@cactusdeal/platform';
import { createSeededRandom, createSilentLog } from '@cactusdeal/shared';
import { Left } from 'purify-ts';
import { buildIdempotencyKey, type Claims, createClaims } from '../../index.js';

const NOW_MS = 1_764_800_000_000;
const MAX_POLLS = 1_000;
const DAY_MS = 86_400_000;
const random = createSeededRandom(7);
let nowMs = NOW_MS;
const clock = (): number => nowMs;

function createTestClaims(platform: Platform): Claims {
  return createClaims({ platform, holderId: 'a', clock, log: createSilentLog(), random });
}

async function claimKey(claims: Claims, key: string, deadlineAtMs = NOW_MS + 500): Promise<string> {
  const { signal } = new AbortController();
  const result = await claims.claim({ service: 'orders', key, deadlineAtMs, signal });
  return result.caseOf({
    Left: ({ kind, outcome }) => `${kind}:${outcome}`,
    Right: () => 'claimed',
  });
}

const keyCases = [
  { name: 'a fresh key', key: buildIdempotencyKey(NOW_MS, random), answer: 'claimed' },
  { name: 'an empty key', key: '', answer: 'KeyMissing:not-run' },
  {
    name: 'a UUIDv4',
    key: 'f47ac10b-58cc-4372-a567-0e02b2c3d479',
    answer: 'KeyMissing:not-run',
  },
  {
    name: 'a key of yesterday, just within its retention',
    key: buildIdempotencyKey(NOW_MS - DAY_MS, random),
    answer: 'claimed',
  },
  {
    name: 'a key past its retention',
    key: buildIdempotencyKey(NOW_MS - DAY_MS - 1, random),
    answer: 'KeyExpired:not-run',
  },
  {
    name: 'a key from the future',
    key: buildIdempotencyKey(NOW_MS + 60_001, random),
    answer: 'KeyExpired:not-run',
  },
];

describe('createClaims', () => {
  keyCases.forEach(({ name, key, answer }) => {
    it(`answers ${answer} to ${name}`, async () => {
      const claims = createTestClaims(createMemoryPlatform());
      assert.equal(await claimKey(claims, key), answer);
      await claims.close();
    });
  });

  it('has released an abandoned key for other holders once abandon resolves', async () => {
    const platform = createMemoryPlatform();
    const slow: Platform = {
      ...platform,
      compareAndSwap: async (...write) => {
        for (let turn = 0; turn < 5; turn += 1) await new Promise(setImmediate);
        return platform.compareAndSwap(...write);
      },
    };
    const first = createTestClaims(slow);
    const second = createTestClaims(platform);
    const key = buildIdempotencyKey(NOW_MS, random);
    const { signal } = new AbortController();
    const wanted = { service: 'orders', key, deadlineAtMs: NOW_MS + 500, signal };
    const ticket = (await first.claim(wanted)).unsafeCoerce();
    await ticket.abandon();
    assert.equal(await claimKey(second, key), 'claimed');
    await Promise.all([first.close(), second.close()]);
  });

  it('refuses a passed deadline without calling the platform', async () => {
    const claims = createTestClaims({} as Platform);
    const key = buildIdempotencyKey(NOW_MS, random);
    assert.equal(await claimKey(claims, key, NOW_MS), 'DeadlinePassed:not-run');
  });

  it('refuses immediately while the platform fails, except for one claim that probes it', async () => {
    const memory = createMemoryPlatform();
    let isDown = true;
    const createIfAbsent: Platform['createIfAbsent'] = async (...all) =>
      isDown ? Left(buildNotDoneFailure('down')) : memory.createIfAbsent(...all);
    const claims = createTestClaims({ ...memory, createIfAbsent });
    const buildKey = (): string => buildIdempotencyKey(NOW_MS, random);
    const controller = new AbortController();
    const common = { service: 'orders', deadlineAtMs: NOW_MS + 60_000, signal: controller.signal };
    const first = claims.claim({ ...common, key: buildKey() });
    let answer = 'waiting';
    for (let round = 0; round < MAX_POLLS && answer === 'waiting'; round += 1) {
      const waiting = new Promise<string>((resolve) => {
        setImmediate(resolve, 'waiting');
      });
      answer = await Promise.race([claimKey(claims, buildKey(), common.deadlineAtMs), waiting]);
      nowMs += 1;
    }
    assert.equal(answer, 'ClaimUnavailable:not-run');
    isDown = false;
    assert.ok((await first).isRight());
    assert.equal(await claimKey(claims, buildKey()), 'claimed');
    await claims.close();
    nowMs = NOW_MS;
  });

  it('grants a key to only one of several holders, also if they have the same id', async () => {
    const platform = createMemoryPlatform();
    const key = buildIdempotencyKey(NOW_MS, random);
    const holders = [1, 2, 3].map(() => createTestClaims(platform));
    const answers = await Promise.all(holders.map((claims) => claimKey(claims, key)));
    assert.deepEqual(answers.sort(), ['KeyClaimed:running', 'KeyClaimed:running', 'claimed']);
    await Promise.all(holders.map((claims) => claims.close()));
  });
});

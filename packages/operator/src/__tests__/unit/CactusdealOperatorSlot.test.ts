import assert from 'node:assert/strict';
import { describe, it, type TestContext } from 'node:test';
import { createMemoryPlatform, type Platform } from '@cactusdeal/platform';
import { createSilentLog } from '@cactusdeal/shared';
import {
  createReaderLease,
  type MemberSlotOptions,
  readReaders,
  readRoster,
  createRosterLease,
} from '../../index.js';
import { CallFault, wrapPlatform } from '../CactusdealOperatorTestPlatform.js';

/** Short, so that the lease task runs often; no test depends on how often. */
const LEASE_MS = 30;
const POLL_MS = 2;
const MAX_POLLS = 2000;

describe('slot leases', () => {
  it('are held by as many members as there are slots', async (context) => {
    const platform = createMemoryPlatform();
    const stop = createStop(context);
    const leases = ['a', 'b', 'c', 'd'].map((id) =>
      createReaderLease(buildOptions(platform, id, stop)),
    );
    await waitUntil(() => leases.filter((lease) => lease.isHolding()).length === 2);
    const readers = await readReaders(platform, 'west');
    const names = readers.map(({ memberId }) => memberId).sort();
    assert.equal(new Set(names).size, 2);
    stop.abort();
    await Promise.all(leases.map((lease) => lease.close()));
    assert.deepEqual(await readReaders(platform, 'west'), []);
  });

  it('go to another member when their holder stops renewing', async (context) => {
    const platform = createMemoryPlatform();
    const stop = createStop(context);
    let isCut = false;
    const cut = wrapPlatform(platform, () => (isCut ? CallFault.LostBefore : CallFault.None));
    const first = createReaderLease({ ...buildOptions(cut, 'a', stop), slots: 1 });
    await waitUntil(first.isHolding);
    const second = createReaderLease({ ...buildOptions(platform, 'b', stop), slots: 1 });
    isCut = true;
    await waitUntil(() => second.isHolding() && !first.isHolding());
    assert.deepEqual(await readReaders(platform, 'west', 1), [
      { memberId: 'b', meshAddress: '127.0.0.1:1' },
    ]);
    stop.abort();
    await Promise.all([first.close(), second.close()]);
  });

  it("count as lost as soon as the lease has expired by the holder's own clock", async (context) => {
    const platform = createMemoryPlatform();
    const stop = createStop(context);
    let nowMs = 0;
    const options = { ...buildOptions(platform, 'a', stop), leaseMs: 600_000, clock: () => nowMs };
    const lease = createReaderLease(options);
    await waitUntil(lease.isHolding);
    nowMs += options.leaseMs;
    assert.equal(lease.isHolding(), false);
    stop.abort();
    await lease.close();
  });

  it('are released by a member that is no longer a candidate, which then makes no calls', async (context) => {
    const platform = createMemoryPlatform();
    const stop = createStop(context);
    let isCandidate = true;
    let calls = 0;
    const counted = wrapPlatform(platform, () => {
      calls += 1;
      return CallFault.None;
    });
    const turns: boolean[] = [];
    const lease = createRosterLease({
      ...buildOptions(counted, 'a', stop),
      isCandidate: () => {
        turns.push(isCandidate);
        return isCandidate;
      },
    });
    await waitUntil(lease.isHolding);
    isCandidate = false;
    await waitUntil(() => !lease.isHolding());
    const callsBefore = calls;
    const turnsBefore = turns.length;
    await waitUntil(() => turns.length > turnsBefore + 2);
    assert.ok(
      calls - callsBefore <= 1,
      'only the call that releases the slot may still be counted',
    );
    stop.abort();
    await lease.close();
  });

  it('let a starting daemon find the contacts that it asks for, with one read each', async (context) => {
    const platform = createMemoryPlatform();
    const stop = createStop(context);
    const leases = Array.from({ length: 8 }, (_, index) =>
      createRosterLease(buildOptions(platform, `m${index}`, stop)),
    );
    await waitUntil(() => leases.every((lease) => lease.isHolding()));
    let calls = 0;
    const counted = wrapPlatform(platform, () => {
      calls += 1;
      return CallFault.None;
    });
    const contacts = await readRoster(counted, { dataCentre: 'west', limit: 3 });
    assert.equal(contacts.length, 3);
    assert.equal(calls, 3);
    stop.abort();
    await Promise.all(leases.map((lease) => lease.close()));
  });
});

/** Creates a controller that stops the tasks of a test, also when the test fails. */
function createStop(context: TestContext): AbortController {
  const stop = new AbortController();
  context.after(() => stop.abort());
  return stop;
}

function buildOptions(
  platform: Platform,
  memberId: string,
  stop: AbortController,
): MemberSlotOptions {
  return {
    platform,
    dataCentre: 'west',
    memberId,
    meshAddress: '127.0.0.1:1',
    leaseMs: LEASE_MS,
    clock: () => performance.now(),
    signal: stop.signal,
    log: createSilentLog(),
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    if (condition()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  assert.fail(`the condition did not hold within ${MAX_POLLS} polls`);
}

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { scheduleTicks, TICK_MS } from '../../CactusdealSharedTicks.js';

// Guards against a task that stops another one, or that keeps the process running after it was stopped.
describe('tasks that share a timer', () => {
  it('run at their own intervals until they are stopped', (context) => {
    context.mock.timers.enable({ apis: ['setInterval'] });
    const runs: string[] = [];
    const stopFirst = scheduleTicks(1, () => runs.push('each tick'));
    const stopSecond = scheduleTicks(2, () => runs.push('each second tick'));
    context.mock.timers.tick(2 * TICK_MS);
    assert.deepEqual(runs.splice(0), ['each tick', 'each tick', 'each second tick']);
    stopFirst();
    context.mock.timers.tick(2 * TICK_MS);
    assert.deepEqual(runs.splice(0), ['each second tick']);
    stopSecond();
    context.mock.timers.tick(4 * TICK_MS);
    assert.deepEqual(runs, []);
  });
});

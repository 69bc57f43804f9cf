import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readRoster } from '@cactusdeal/operator';
import type { Platform } from '@cactusdeal/platform';
import { createSilentLog } from '@cactusdeal/shared';
import { Right } from 'purify-ts';
import { createLocalWorkers } from '../../CactusdealDaemonWorkers.js';

const deep = '['.repeat(200_000) + ']'.repeat(200_000);
const holder = '{"memberId":"d1","meshAddress":"127.0.0.1:7000"}';

const values: readonly [name: string, text: string][] = [
  ['deep nesting', deep],
  ['deep nesting in place of an address', `{"memberId":"d2","meshAddress":${deep}}`],
  ['a number that is too large', '{"memberId":1e999,"meshAddress":"127.0.0.1:7000"}'],
  ['no JSON', '{'],
];

describe('an odd entry in the roster', () => {
  values.forEach(([name, text]) => {
    it(`is passed over, and the others hold: ${name}`, async () => {
      const texts = [text, holder];
      const get = (): unknown => {
        const value = new TextEncoder().encode(texts.shift() ?? text);
        return Promise.resolve(Right({ value, revision: 1 }));
      };
      const platform = { get } as unknown as Platform;
      const holders = await readRoster(platform, { dataCentre: 'west', limit: 2, slots: 2 });
      assert.deepEqual(
        holders.map(({ memberId }) => memberId),
        ['d1'],
      );
    });
  });
});

const announcements: readonly [name: string, changes: object, isTaken: boolean][] = [
  ['a usable address', {}, true],
  ['the highest port', { address: '127.0.0.1:65535' }, true],
  ['a port out of range', { address: '127.0.0.1:65536' }, false],
  ['port 0', { address: '127.0.0.1:0' }, false],
  ['too many slots', { slots: 1e300 }, false],
  ['deep nesting in place of its services', { services: JSON.parse(deep) as unknown }, false],
];

describe('the announcement of an upstream with', () => {
  announcements.forEach(([name, changes, isTaken]) => {
    it(`${name} is ${isTaken ? 'taken' : 'refused'}`, (context) => {
      const workers = createLocalWorkers({
        leaseMs: 1_000,
        clock: () => 0,
        wallClock: () => 0,
        log: createSilentLog(),
        publish: () => {},
      });
      context.after(() => workers.close());
      const announcement = {
        address: '127.0.0.1:7000',
        services: ['records'],
        slots: 4,
        state: 'ready',
        ...changes,
      };
      assert.equal(workers.announce('w1', announcement).isRight(), isTaken);
    });
  });
});

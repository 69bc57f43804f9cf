import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Left } from 'purify-ts';
import type { Claims } from '@cactusdeal/traffic';
import { convertClaimDeadlines } from '../../CactusdealDaemonClaims.js';

const cases = [
  { name: 'a gate clock that starts at 0', gate: 5_000, wall: 1_700_000_000_000, leftMs: 250 },
  { name: 'a gate clock ahead of the date', gate: 9e12, wall: 1_700_000_000_000, leftMs: 250 },
  { name: 'a deadline that has passed', gate: 5_000, wall: 1_700_000_000_000, leftMs: -10 },
];

describe('convertClaimDeadlines', () => {
  cases.forEach(({ name, gate, wall, leftMs }) => {
    it(`keeps the time that is left with ${name}`, async () => {
      const seen: number[] = [];
      const claims: Claims = {
        claim: async ({ deadlineAtMs }) => {
          seen.push(deadlineAtMs);
          return Left({ kind: 'KeyClaimed', message: '', outcome: 'running', status: 409 });
        },
        close: async () => {},
      };
      const converted = convertClaimDeadlines(claims, { gate: () => gate, wall: () => wall });
      const { signal } = new AbortController();
      await converted.claim({ service: 's', key: 'k', deadlineAtMs: gate + leftMs, signal });
      assert.deepEqual(seen, [wall + leftMs]);
    });
  });
});

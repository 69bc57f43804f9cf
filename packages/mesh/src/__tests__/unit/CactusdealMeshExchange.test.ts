import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FailureError } from '@cactusdeal/shared';
import fc from 'fast-check';
import { createCountedEntry, createCountingState } from '../../bench/CactusdealMeshBenchState.js';
import { splitEntries } from '../../CactusdealMeshExchange.js';
import { MAX_FRAME_BYTES, encodeFrame } from '../../CactusdealMeshFrame.js';
import { createMeshFailure, MeshFailureKind } from '../../CactusdealMeshFailure.js';
import {
  closeMeshes,
  countAlive,
  KEPT_ENTRIES,
  startMesh,
  startMeshes,
  waitUntil,
} from './CactusdealMeshFixture.js';

const SEED = 45;

const HANDLER_FAILURES = [
  { name: 'a plain error', error: new TypeError('broken handler') },
  {
    name: 'a typed failure',
    error: new FailureError(
      createMeshFailure(MeshFailureKind.FrameMalformed, 'malformed for this test'),
    ),
  },
] as const;

describe('exchange', () => {
  it('splits entries in order into messages that fit into a frame', () => {
    const sizes = fc.array(fc.integer({ min: 1, max: 900_000 }), {
      minLength: 20,
      maxLength: 30,
    });
    fc.assert(
      fc.property(sizes, (lengths) => {
        const entries = lengths.map((length, index) => ({
          ...createCountedEntry(index + 1),
          operator: 'x'.repeat(length),
        }));
        const parts = splitEntries(entries);
        assert.deepEqual(parts.flat(), entries);
        parts.forEach((part) => assert.ok(encodeFrame(part).length <= MAX_FRAME_BYTES));
      }),
      { seed: SEED, numRuns: 10 },
    );
  });

  HANDLER_FAILURES.forEach(({ name, error }) => {
    it(`keeps all daemons connected when handling a value fails on one of them with ${name}`, async () => {
      const meshes = await startMeshes(5);
      const broken = createCountingState(KEPT_ENTRIES);
      let failures = 0;
      broken.acceptEntry = () => {
        failures += 1;
        throw error;
      };
      const contacts = [String(meshes[0]?.getSelf().meshAddress)];
      const sixth = await startMesh('sixth', { state: broken, contacts });
      const all = [...meshes, sixth];
      try {
        await waitUntil(
          () => all.every((mesh) => countAlive(mesh) === 6),
          'every daemon knows every other as alive',
        );
        meshes[1]?.publishEntry(createCountedEntry(1));
        await waitUntil(() => failures > 0, 'the failing daemon received the value');
        await waitUntil(
          () => sixth.getNeighbours().length > 0,
          'the failing daemon has neighbours again',
        );
        await waitUntil(
          () => all.every((mesh) => countAlive(mesh) === 6),
          'every daemon knows every other as alive again',
        );
      } finally {
        await closeMeshes(all);
      }
    });
  });
});

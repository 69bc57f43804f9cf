import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createVersionHistory, type VersionHistory } from '../../CactusdealRelayVersionHistory.js';

function buildHistory(sources: Readonly<Record<number, unknown>>): VersionHistory {
  const history = createVersionHistory();
  Object.entries(sources).forEach(([version, source]) => {
    history.add(Number(version), JSON.stringify(source));
  });
  return history;
}

/** Builds a configuration of a thousand routes, one of which has the host `changed`. */
function buildRoutes(changed: string): unknown {
  const routes = Object.fromEntries(
    Array.from({ length: 1_000 }, (_, index) => [`r${index}`, { host: `h${index}`, prefix: '/' }]),
  );
  return { routes: { ...routes, r500: { host: changed, prefix: '/' } } };
}

interface Case {
  readonly name: string;
  /** Versions that the sender holds. */
  readonly sent: Readonly<Record<number, unknown>>;
  /** Versions that the receiver holds; it requests an update from the last. */
  readonly held: Readonly<Record<number, unknown>>;
  readonly type: 'whole' | 'delta';
}

const cases: readonly Case[] = [
  {
    name: 'a whole version to a daemon without any',
    sent: { 3: { a: 1 } },
    held: {},
    type: 'whole',
  },
  {
    name: 'a delta to a daemon that holds the previous version',
    sent: { 3: { a: 1, b: { c: 2 } }, 5: { a: 1, b: { d: 3 } } },
    held: { 3: { a: 1, b: { c: 2 } } },
    type: 'delta',
  },
  {
    name: 'a delta to a daemon that is two versions behind',
    sent: { 3: { a: 1 }, 5: { a: 2 }, 6: { a: 3, b: [] } },
    held: { 3: { a: 1 } },
    type: 'delta',
  },
  {
    name: 'a whole version to a daemon whose version the sender never had',
    sent: { 5: { a: 2 }, 6: { a: 3 } },
    held: { 4: { a: 0 } },
    type: 'whole',
  },
  {
    name: 'a whole version to a daemon that is far behind',
    sent: { 1: { a: 1 }, 2: { a: 2 }, 3: { a: 3 }, 4: { a: 4 }, 5: { a: 5 } },
    held: { 1: { a: 1 } },
    type: 'whole',
  },
];

describe('updates between daemons', () => {
  cases.forEach(({ name, sent, held, type }) => {
    it(`send ${name}`, () => {
      const newest = Object.values(sent).at(-1);
      const update = buildHistory(sent).buildUpdate(Number(Object.keys(held).at(-1) ?? 0));
      assert.equal(update?.type, type);
      const text = update === undefined ? '' : buildHistory(held).apply(update).unsafeCoerce();
      assert.deepEqual(JSON.parse(text), newest);
    });
  });

  it('are small if one route of a thousand has changed', () => {
    const history = buildHistory({ 1: buildRoutes('before'), 2: buildRoutes('after') });
    const size = (from: number): number => history.buildUpdate(from)?.bytes.byteLength ?? 0;
    assert.ok(size(1) < 100, `${size(1)} bytes`);
    assert.ok(size(0) > 10 * size(1));
  });

  it('are rejected by a daemon that lacks the base version', () => {
    const update = buildHistory({ 1: { a: 1 }, 2: { a: 2 } }).buildUpdate(1);
    assert.ok(update !== undefined && buildHistory({ 3: {} }).apply(update).isLeft());
  });

  it('are rejected if they are not valid compressed data', () => {
    const update = { type: 'whole', bytes: Buffer.from('no such thing') } as const;
    assert.ok(buildHistory({}).apply(update).isLeft());
  });

  it('restore any version from any other', () => {
    const document = fc.dictionary(fc.string(), fc.jsonValue());
    fc.assert(
      fc.property(document, document, (before, after) => {
        const update = buildHistory({ 1: before, 2: after }).buildUpdate(1);
        assert.ok(update !== undefined);
        const text = buildHistory({ 1: before }).apply(update).unsafeCoerce();
        assert.deepEqual(JSON.parse(text), JSON.parse(JSON.stringify(after)));
      }),
      { seed: 20_261_204, numRuns: 200 },
    );
  });
});

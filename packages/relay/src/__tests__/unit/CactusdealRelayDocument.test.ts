import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createPatch } from 'rfc6902';
import {
  applyOperations,
  diffDocuments,
  type DocumentOperation,
  type JsonDocument,
  shareEntries,
} from '../../CactusdealRelayDocument.js';

const SEED = 20_261_207;
const BASE = { routes: { a: { x: 1 }, b: { x: [1] } }, limits: { size: 1 }, name: 'one' };

const parse = (value: unknown): JsonDocument => JSON.parse(JSON.stringify(value)) as JsonDocument;

const changes: readonly [name: string, target: JsonDocument, operations: number][] = [
  ['nothing', BASE, 0],
  ['an entry', { ...BASE, routes: { ...BASE.routes, a: { x: 2 } } }, 1],
  ['a new entry in the middle', { ...BASE, routes: { a: { x: 1 }, c: 1, b: { x: [1] } } }, 1],
  ['an entry less', { ...BASE, routes: { b: { x: [1] } } }, 1],
  ['the order of entries', { ...BASE, routes: { b: { x: [1] }, a: { x: 1 } } }, 1],
  ['a table less', { routes: BASE.routes, name: 'one' }, 1],
  ['a table that becomes a list', { ...BASE, limits: [1] }, 1],
];

describe('difference of two documents', () => {
  changes.forEach(([name, target, count]) => {
    it(`lists ${name}`, () => {
      const operations = diffDocuments(BASE, parse(target));
      assert.equal(operations.length, count);
      const applied = applyOperations(BASE, operations).unsafeCoerce();
      assert.equal(JSON.stringify(applied), JSON.stringify(target));
    });
  });

  const entry = fc.oneof(fc.jsonValue({ maxDepth: 2 }), fc.constantFrom({ x: 1 }, { x: 2 }, [1]));
  const key = fc.constantFrom('a', 'b', 'c', 'd/e', '~f', '7', '', '__proto__', 'constructor');
  const table = fc.dictionary(key, entry);
  const document = fc.dictionary(key, fc.oneof(table, entry)).map(parse);

  it('gives any document from any other, with its tables in the same order', () => {
    fc.assert(
      fc.property(document, document, (base, target) => {
        const before = JSON.stringify(base);
        const operations = parse(diffDocuments(base, target)) as unknown as DocumentOperation[];
        const applied = applyOperations(base, operations).unsafeCoerce();
        assert.equal(JSON.stringify(base), before);
        Object.entries(target).forEach(([name, value]) => {
          const isDone = Object.hasOwn(applied, name);
          assert.ok(isDone, name);
          assert.deepEqual(applied[name], value);
          assert.deepEqual(Object.keys(Object(applied[name])), Object.keys(Object(value)));
        });
        assert.equal(Object.keys(applied).length, Object.keys(target).length);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('is read from daemons of earlier releases, which list changes inside entries', () => {
    const names = fc.constantFrom('a', 'b', 'c', 'd/e', '~f');
    const plain = fc
      .dictionary(names, fc.dictionary(names, fc.dictionary(names, entry)))
      .map(parse);
    fc.assert(
      fc.property(plain, plain, (base, target) => {
        const applied = applyOperations(base, createPatch(base, target)).unsafeCoerce();
        assert.deepEqual(applied, target);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('shares with the base what is equal', () => {
    const next = parse({ ...BASE, routes: { a: { x: 1 }, b: { x: 2 } } });
    const shared = shareEntries(BASE, next) as typeof BASE;
    assert.equal(shared.limits, BASE.limits);
    assert.equal(shared.routes.a, BASE.routes.a);
    assert.deepEqual(shared.routes.b, { x: 2 });
  });

  const refused: readonly [name: string, operations: readonly DocumentOperation[]][] = [
    ['an entry that is not there', [{ op: 'remove', path: '/routes/z' }]],
    ['a value inside a missing entry', [{ op: 'replace', path: '/routes/z/x', value: 1 }]],
    ['the whole document', [{ op: 'replace', path: '', value: {} }]],
    [
      'an operation after a possible one',
      [
        { op: 'replace', path: '/routes/a', value: 1 },
        { op: 'remove', path: '/other' },
      ],
    ],
  ];
  refused.forEach(([name, operations]) => {
    it(`is refused as a whole for ${name}`, () => {
      assert.ok(applyOperations(BASE, operations).isLeft());
      assert.deepEqual(BASE.routes.a, { x: 1 });
    });
  });
});

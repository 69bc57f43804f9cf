import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isSocketAddress, MAX_JSON_DEPTH, parseJson } from '../../index.js';

const nest = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth);

const texts: readonly [name: string, text: string, kind: string | undefined][] = [
  ['an object', '{"a":[1,{"b":"]["}]}', undefined],
  ['brackets and quotes in a string', JSON.stringify({ a: '"[\\{'.repeat(100) }), undefined],
  ['the deepest value', nest(MAX_JSON_DEPTH), undefined],
  ['a value that is too deep', nest(MAX_JSON_DEPTH + 1), 'JsonTooDeep'],
  ['a value that would exceed the stack', nest(1_000_000), 'JsonTooDeep'],
  ['no JSON', '{', 'JsonMalformed'],
  ['nothing', '', 'JsonMalformed'],
];

describe('JSON that another party wrote', () => {
  texts.forEach(([name, text, kind]) => {
    it(`${kind === undefined ? 'takes' : 'refuses'} ${name}`, () => {
      const parsed = parseJson(text);
      assert.equal(parsed.isLeft() ? parsed.extract().kind : undefined, kind);
    });
  });
});

const addresses: readonly [address: unknown, isUsable: boolean][] = [
  ['10.0.0.1:1', true],
  ['10.0.0.1:65535', true],
  ['[::1]:80', true],
  ['10.0.0.1:65536', false],
  ['10.0.0.1:0', false],
  ['10.0.0.1:-1', false],
  ['10.0.0.1:1e3', false],
  ['10.0.0.1:', false],
  ['10.0.0.1', false],
  ['10.0.0.999:80', false],
  ['host:80', false],
  ['', false],
  [80, false],
  [null, false],
];

describe('an address to connect to', () => {
  addresses.forEach(([address, isUsable]) => {
    it(`is ${isUsable ? 'usable' : 'not usable'}: ${JSON.stringify(address)}`, () => {
      assert.equal(isSocketAddress(address), isUsable);
    });
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  checkApiKey,
  buildOrganisationTable,
  computeRank,
  formatOrganisationField,
} from '../../CactusdealRelayOrganisations.js';
import { parseCall, toCallMessage } from '../../CactusdealRelayWire.js';
import { buildCall, buildOrganisation } from '../CactusdealRelayFixtures.js';

const TABLE = buildOrganisationTable([
  buildOrganisation({ name: 'north', keys: ['n1', 'n2'] }),
  buildOrganisation({ name: 'south', keys: ['s1'] }),
]);

const PUBLIC = { isPublic: true };
const RESTRICTED = { isPublic: false };

/** Name of the organisation, `none` for a call that is admitted without one, or `401`. */
const cases: readonly [
  name: string,
  table: typeof TABLE,
  rule: typeof PUBLIC | undefined,
  headers: readonly string[],
  expected: string,
][] = [
  ['a key', TABLE, RESTRICTED, ['Authorization', 'Bearer n1'], 'north'],
  ['a second key', TABLE, RESTRICTED, ['authorization', 'Bearer n2'], 'north'],
  ['a scheme in other case', TABLE, RESTRICTED, ['Authorization', 'bEARER s1'], 'south'],
  ['a key on a public route', TABLE, PUBLIC, ['Authorization', 'Bearer s1'], 'south'],
  ['no key', TABLE, RESTRICTED, [], '401'],
  ['no key on a public route', TABLE, PUBLIC, [], 'none'],
  ['no key and no route', TABLE, undefined, [], 'none'],
  ['an unknown key', TABLE, RESTRICTED, ['Authorization', 'Bearer n3'], '401'],
  ['an unknown key on a public route', TABLE, PUBLIC, ['Authorization', 'Bearer n3'], '401'],
  ['an unknown key and no route', TABLE, undefined, ['Authorization', 'Bearer n3'], '401'],
  ['a key in other case', TABLE, RESTRICTED, ['Authorization', 'Bearer N1'], '401'],
  ['a key without its scheme', TABLE, RESTRICTED, ['Authorization', 'n1'], '401'],
  ['another scheme', TABLE, RESTRICTED, ['Authorization', 'Basic n1'], '401'],
  ['an empty key', TABLE, RESTRICTED, ['Authorization', 'Bearer '], '401'],
  ['a name of an object', TABLE, RESTRICTED, ['Authorization', 'Bearer __proto__'], '401'],
  [
    'a table without organisations',
    buildOrganisationTable([]),
    RESTRICTED,
    ['Authorization', 'Bearer n1'],
    '401',
  ],
  ['no organisations', undefined, RESTRICTED, ['Authorization', 'Bearer n1'], 'none'],
];

describe('authentication of a call', () => {
  cases.forEach(([name, table, rule, headers, expected]) => {
    it(`finds ${expected} with ${name}`, () => {
      const found = checkApiKey(table, rule, headers);
      const result = found.type === 'admitted' ? (found.organisation?.name ?? 'none') : '401';
      assert.equal(result, expected);
    });
  });

  it('needs no key if the configuration has no table of organisations', () => {
    assert.equal(buildOrganisationTable(undefined), undefined);
  });
});

const NO_ORGANISATION = undefined;

/** Pairs of calls of which the first is more urgent. */
const ranks: readonly [
  name: string,
  first: Parameters<typeof computeRank>,
  second: Parameters<typeof computeRank>,
][] = [
  ['the route', [{ priority: 1 }, 0], [{ priority: 1 }, 1]],
  ['the organisation before the route', [{ priority: 0 }, 9], [{ priority: 1 }, 0]],
  ['any route of no organisation first', [NO_ORGANISATION, 99], [{ priority: 0 }, 0]],
  ['routes of no organisation', [NO_ORGANISATION, 0], [NO_ORGANISATION, 1]],
  ['the organisation despite an odd route', [{ priority: 0 }, 1e12], [{ priority: 1 }, -1e12]],
];

describe('rank of a call', () => {
  ranks.forEach(([name, first, second]) => {
    it(`compares ${name}`, () => assert.ok(computeRank(...first) < computeRank(...second)));
  });

  it('is that of the route without an organisation', () => {
    assert.equal(computeRank(NO_ORGANISATION, 3), 3);
  });
});

describe('organisation of a call on a link', () => {
  it('is carried over, and absent from a daemon that does not send it', () => {
    const message = toCallMessage(1, buildCall({ organisation: 'north' }), 0);
    assert.equal(parseCall(message).organisation, 'north');
    const [kind, ...fields] = message;
    assert.equal(parseCall([kind, ...fields.slice(0, -1)]).organisation, undefined);
  });
});

describe('organisation of a call in the field for upstreams', () => {
  (
    [
      ['north', 'north'],
      ['a\r\nx: 1', 'a%0D%0Ax: 1'],
      ['Süd', Buffer.from('Süd').toString('latin1')],
    ] as const
  ).forEach(([name, expected]) => {
    it(`is valid for ${JSON.stringify(name)}`, () => {
      assert.equal(formatOrganisationField(name), expected);
    });
  });
});

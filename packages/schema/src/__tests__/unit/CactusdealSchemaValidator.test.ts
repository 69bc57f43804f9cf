import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createValidator, formatFault } from '../../index.js';

const listen = { mesh: '127.0.0.1:1', calls: '127.0.0.1:2', admin: '127.0.0.1:3' };
const requiredSettings = {
  cluster: 'oviedo',
  dataCentre: 'oeste',
  listen,
  platform: { url: 'http://127.0.0.1:9' },
};

const cases = [
  { name: 'accepts settings with only the required keys', value: requiredSettings, faults: [] },
  {
    name: 'reports a missing key',
    value: { ...requiredSettings, cluster: undefined },
    faults: ['cluster: found nothing, allowed: required'],
  },
  {
    name: 'reports all faults together',
    value: { ...requiredSettings, listen: { ...listen, mesh: 'host:1' }, colour: 'red' },
    faults: [
      'colour: found unknown key, allowed: only the documented keys',
      'listen.mesh: found "host:1", allowed: must match pattern',
    ],
  },
];

describe('createValidator', () => {
  cases.forEach(({ name, value, faults }) => {
    it(name, () => {
      const result = createValidator('settings')(structuredClone(value));
      const found = result.swap().map((failure) => failure.faults.map(formatFault));
      const lines = found.orDefault([]);
      assert.equal(lines.length, faults.length);
      faults.forEach((fault) =>
        assert.ok(
          lines.some((line) => line.startsWith(fault)),
          fault,
        ),
      );
    });
  });

  it('fills in the defaults of the schema', () => {
    const result = createValidator<{ mesh: { heartbeatMs: number } }>('settings')(
      structuredClone(requiredSettings),
    );
    assert.equal(result.map((settings) => settings.mesh.heartbeatMs).orDefault(0), 1000);
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLog, type Log, LogLevel, startLogging } from '../../index.js';

const cases: readonly {
  readonly name: string;
  readonly write: (log: Log) => void;
  readonly line: RegExp | undefined;
}[] = [
  {
    name: 'writes the fields of the log and of the event',
    write: (log) => log.info('ready', { version: 3 }),
    line: /^time=\S+ level=info event=ready daemon=d1 version=3$/,
  },
  {
    name: 'quotes values with spaces and leaves out undefined ones',
    write: (log) => log.warn('load-failed', { message: 'no answer', code: undefined }),
    line: /level=warn event=load-failed daemon=d1 message="no answer"$/,
  },
  {
    name: 'keeps percent signs in a value',
    write: (log) => log.error('request-failed', { path: '/a%20b' }),
    line: /path=\/a%20b$/,
  },
  {
    name: 'drops events below the minimum level',
    write: (log) => log.debug('below-minimum'),
    line: undefined,
  },
  {
    name: 'computes no fields of an event below the minimum level',
    write: (log) =>
      log.debug('below-minimum', () => {
        throw new Error('fields of a line that is not written');
      }),
    line: undefined,
  },
];

describe('createLog', () => {
  cases.forEach(({ name, write, line }) => {
    it(name, () => {
      const lines: string[] = [];
      startLogging((text) => lines.push(text), LogLevel.Info);
      write(createLog({ daemon: 'd1' }));
      assert.equal(lines.length, line === undefined ? 0 : 1);
      if (line !== undefined) assert.match(lines[0] ?? '', line);
    });
  });
});

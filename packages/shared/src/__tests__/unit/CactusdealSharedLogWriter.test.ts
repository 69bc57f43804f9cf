import assert from 'node:assert/strict';
import { Writable } from 'node:stream';
import { describe, it } from 'node:test';
import { LogLevel } from '../../CactusdealSharedLog.js';
import { createLogWriter } from '../../CactusdealSharedLogWriter.js';

describe('log writer', () => {
  const bursts: readonly [
    name: string,
    level: LogLevel,
    lines: number,
    rate: number,
    lost: number,
  ][] = [
    ['writes all errors within the rate limit', LogLevel.Error, 10, 10, 0],
    ['drops errors beyond the rate limit', LogLevel.Error, 100, 10, 90],
    ['reserves a tenth of the rate limit from warnings', LogLevel.Warn, 100, 10, 91],
    ['reserves three tenths of the rate limit from info lines', LogLevel.Info, 100, 10, 93],
    ['reserves seven tenths of the rate limit from debug lines', LogLevel.Debug, 100, 10, 97],
  ];
  bursts.forEach(([name, level, lines, linesPerSecond, lost]) => {
    it(name, () => {
      let text = '';
      const stream = new Writable({
        write: (chunk, _encoding, done) => {
          text += String(chunk);
          done();
        },
      });
      const writer = createLogWriter({ stream, linesPerSecond });
      for (let line = 0; line < lines; line += 1) {
        if (writer.admit(level)) writer.write(`line=${line}`);
      }
      writer.close();
      assert.equal(writer.countLostLines(), lost);
      assert.match(text, /^line=0\n/);
      assert.equal(text.includes(`event=log-lines-lost lines=${lost}`), lost > 0);
    });
  });

  it('bounds the buffered bytes when the reader does not read', () => {
    const stream = new Writable({ highWaterMark: 1, write: () => {} });
    const writer = createLogWriter({ stream, linesPerSecond: 1e9, maxWaitingBytes: 1_000 });
    for (let line = 0; line < 10_000; line += 1) {
      if (writer.admit(LogLevel.Error)) writer.write('x'.repeat(99));
      if (line % 10 === 9) writer.close();
    }
    assert.ok(stream.writableLength < 5_000, String(stream.writableLength));
    assert.ok(writer.countLostLines() > 9_000);
  });
});

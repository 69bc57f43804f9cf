import assert from 'node:assert/strict';
import { Writable } from 'node:stream';
import { describe, it } from 'node:test';
import { LogLevel } from '../../CactusdealSharedLog.js';
import { createLogWriter } from '../../CactusdealSharedLogWriter.js';

describe('log writer', () => {
  const floods: readonly [
    name: string,
    level: LogLevel,
    lines: number,
    rate: number,
    lost: number,
  ][] = [
    ['keeps all errors within its rate', LogLevel.Error, 10, 10, 0],
    ['leaves out errors that come too fast', LogLevel.Error, 100, 10, 90],
    ['keeps a tenth free of warnings', LogLevel.Warn, 100, 10, 91],
    ['keeps three tenths free of plain lines', LogLevel.Info, 100, 10, 93],
    ['keeps seven tenths free of routine', LogLevel.Debug, 100, 10, 97],
  ];
  floods.forEach(([name, level, lines, linesPerSecond, lost]) => {
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
      assert.equal(writer.countLost(), lost);
      assert.match(text, /^line=0\n/);
      assert.equal(text.includes(`event=log-lines-lost lines=${lost}`), lost > 0);
    });
  });

  it('holds no more than its bound for a reader that does not read', () => {
    const stream = new Writable({ highWaterMark: 1, write: () => {} });
    const writer = createLogWriter({ stream, linesPerSecond: 1e9, maxWaitingBytes: 1_000 });
    for (let line = 0; line < 10_000; line += 1) {
      if (writer.admit(LogLevel.Error)) writer.write('x'.repeat(99));
      if (line % 10 === 9) writer.close();
    }
    assert.ok(stream.writableLength < 5_000, String(stream.writableLength));
    assert.ok(writer.countLost() > 9_000);
  });
});

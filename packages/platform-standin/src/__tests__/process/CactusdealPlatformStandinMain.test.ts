import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { createHttpPlatform, PlatformFailureKind } from '@cactusdeal/platform';

const MAIN = fileURLToPath(new URL('../../CactusdealPlatformStandinMain.js', import.meta.url));

describe('platform stand-in process', () => {
  it('prints its URL, serves calls, and stops on SIGTERM while a watch is waiting', async (context) => {
    const child = spawn(process.execPath, [MAIN, '--listen', '127.0.0.1:0'], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    context.after(() => child.kill('SIGKILL'));
    const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
    const [, url] = /^ready url=(http:\/\/127\.0\.0\.1:\d+)$/.exec(line) ?? [];
    assert.ok(url !== undefined, line);
    const platform = createHttpPlatform({ url, timeoutMs: 5000, callsPerSecond: 100 });
    context.after(() => platform.close());
    assert.ok((await platform.createIfAbsent('a', new Uint8Array([1]))).isRight());
    const watching = platform.watch('b', 0, 60_000);
    child.kill('SIGTERM');
    const [code] = (await once(child, 'exit')) as [number | null];
    assert.equal(code, 0);
    assert.ok((await watching).isLeft());
    const fresh = createHttpPlatform({ url, timeoutMs: 5000, callsPerSecond: 100 });
    context.after(() => fresh.close());
    assert.equal((await fresh.get('a')).swap().unsafeCoerce().kind, PlatformFailureKind.NotDone);
  });

  const INVALID_FLAGS = [
    ['--listen', 'nowhere'],
    ['--colour', 'red'],
  ];
  INVALID_FLAGS.forEach((flags) => {
    it(`refuses ${flags.join(' ')} with exit code 2`, async () => {
      const child = spawn(process.execPath, [MAIN, ...flags], { stdio: 'ignore' });
      const [code] = (await once(child, 'exit')) as [number | null];
      assert.equal(code, 2);
    });
  });
});

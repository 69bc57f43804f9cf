#!/usr/bin/env node
/* eslint n/hashbang: "off" -- the compiled file is the command that package.json names */
import { cac } from 'cac';
import { startPlatformStandin } from './CactusdealPlatformStandinServer.js';

const EXIT_USAGE = 2;
const ADDRESS_PATTERN = /^(.+):(\d{1,5})$/;

const cli = cac('cactusdeal-platform-standin');
cli
  .command('', 'Run a stand-in for the platform that keeps its records in memory')
  .option('--listen <address>', 'IP address and port to listen on; port 0 selects a free port', {
    default: '127.0.0.1:0',
  })
  .option('--limit <calls>', 'Calls per second; further calls are refused with status 429')
  .action(runStandin);
cli.help();

try {
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
} catch (caught) {
  process.stderr.write(`${(caught as Error).message}\n`);
  process.exitCode = EXIT_USAGE;
}

async function runStandin(options: { listen: string; limit?: number }): Promise<void> {
  const [, host, port] = ADDRESS_PATTERN.exec(options.listen) ?? [];
  if (host === undefined) {
    process.stderr.write(`--listen: found ${options.listen}, allowed: IP:PORT\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const standin = await startPlatformStandin({
    host,
    port: Number(port),
    ...(options.limit === undefined ? {} : { callsPerSecondLimit: Number(options.limit) }),
  });
  const stop = () => {
    void standin.close();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  process.stdout.write(`ready url=${standin.url}\n`);
}

// Installs what is missing and builds, so that one command works on a fresh clone.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

function run(command, args) {
  const { status } = spawnSync(command, args, { stdio: ['ignore', 'ignore', 'inherit'] });
  if (status !== 0) process.exit(status ?? 1);
}

if (!existsSync('node_modules/.package-lock.json')) {
  run('npm', ['ci', '--prefer-offline', '--loglevel=error']);
}
run('npx', ['--no-install', 'tsc', '-b']);

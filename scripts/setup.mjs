// Installs the dependencies if they are missing and builds all packages, so that every npm script works on a fresh clone.
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

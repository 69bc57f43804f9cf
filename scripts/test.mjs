// Runs the compiled test files, or those whose path contains one of the arguments. A failed test that KNOWN-RED.txt lists
// is printed but does not fail the run.
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';

const KNOWN_RED = 'KNOWN-RED.txt';
const CONCURRENCY = 4;
/** A test file that runs longer is ended and counts as failed, by its name. */
const FILE_TIMEOUT_MS = 300_000;

function listTestFiles() {
  const files = ['packages', 'platform']
    .flatMap((root) => readdirSync(root, { recursive: true }).map((file) => `${root}/${file}`))
    .filter((file) => /^[^.]+\/dist\/__tests__\/.*\.test\.js$/.test(file))
    .filter((file) => !file.includes('node_modules'))
    // Skips compiled tests without a source, which remain in dist after a change of branch.
    .filter((file) => existsSync(file.replace('/dist/', '/src/').replace(/\.js$/, '.ts')));
  const pathParts = process.argv.slice(2);
  return files
    .filter((file) => pathParts.length === 0 || pathParts.some((part) => file.includes(part)))
    .sort();
}

/** Names of the known failing tests; each entry of the file begins with a line `test: NAME`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED)) return [];
  return readFileSync(KNOWN_RED, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

const files = listTestFiles();
const runner = spawn(
  process.execPath,
  [
    '--import',
    './scripts/exit.mjs',
    '--test',
    '--test-reporter=tap',
    `--test-concurrency=${CONCURRENCY}`,
    `--test-timeout=${FILE_TIMEOUT_MS}`,
    ...files,
  ],
  { stdio: ['ignore', 'pipe', 'inherit'] },
);
let output = '';
runner.stdout.setEncoding('utf8');
runner.stdout.on('data', (chunk) => {
  output += chunk;
});
runner.on('close', report);

function report() {
  const knownRed = readKnownRed();
  const failures = [];
  const lines = output.split('\n');
  let passed = 0;
  lines.forEach((line, index) => {
    const match = /^(\s*)(not ok|ok) \d+ - (.*)$/.exec(line);
    if (match === null) return;
    const details = lines.slice(index + 1, index + 12).join('\n');
    if (/type: 'suite'/.test(details.split(/\n\s*\.\.\./)[0])) {
      // The tests of a suite whose hook fails are reported as cancelled, without the cause.
      if (/failureType: 'hookFailed'/.test(details))
        console.log(lines.slice(index, index + 40).join('\n'));
      return;
    }
    if (match[2] === 'ok') passed += 1;
    else
      failures.push({
        name: match[3].replaceAll('\\#', '#'),
        details: lines.slice(index, index + 40).join('\n'),
      });
  });
  const expectedFailures = failures.filter((item) => knownRed.includes(item.name));
  const unexpectedFailures = failures.filter((item) => !knownRed.includes(item.name));
  unexpectedFailures.forEach((item) => console.log(item.details));
  expectedFailures.forEach((item) => console.log(`known red: ${item.name}`));
  if (passed === 0) console.log('no test ran');
  console.log(`${passed} passed, ${unexpectedFailures.length} failed`);
  process.exitCode = unexpectedFailures.length > 0 || passed === 0 ? 1 : 0;
}

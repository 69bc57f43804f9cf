// Runs every test file, passes over just the tests that KNOWN-RED.txt names, and prints them.
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';

const KNOWN_RED = 'KNOWN-RED.txt';
const CONCURRENCY = 4;

function listTestFiles() {
  const files = ['packages', 'platform']
    .flatMap((root) => readdirSync(root, { recursive: true }).map((file) => `${root}/${file}`))
    .filter((file) => /^[^.]+\/dist\/__tests__\/.*\.test\.js$/.test(file))
    .filter((file) => !file.includes('node_modules'))
    // A compiled test whose source is gone is left over from another branch.
    .filter((file) => existsSync(file.replace('/dist/', '/src/').replace(/\.js$/, '.ts')));
  const wanted = process.argv.slice(2);
  return files
    .filter((file) => wanted.length === 0 || wanted.some((part) => file.includes(part)))
    .sort();
}

/** Lines of the form `test: NAME` head the entries of the file. */
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
  const failedNames = [];
  const lines = output.split('\n');
  let passed = 0;
  lines.forEach((line, index) => {
    const match = /^(\s*)(not ok|ok) \d+ - (.*)$/.exec(line);
    if (match === null) return;
    const details = lines.slice(index + 1, index + 12).join('\n');
    if (/type: 'suite'/.test(details.split(/\n\s*\.\.\./)[0])) return;
    if (match[2] === 'ok') passed += 1;
    else
      failedNames.push({
        name: match[3].replaceAll('\\#', '#'),
        details: lines.slice(index, index + 40).join('\n'),
      });
  });
  const red = failedNames.filter((failed) => knownRed.includes(failed.name));
  const failed = failedNames.filter((item) => !knownRed.includes(item.name));
  failed.forEach((item) => console.log(item.details));
  red.forEach((item) => console.log(`known red: ${item.name}`));
  if (passed === 0) console.log('no test ran');
  console.log(`${passed} passed, ${failed.length} failed`);
  process.exitCode = failed.length > 0 || passed === 0 ? 1 : 0;
}

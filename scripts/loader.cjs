// Runs the bundled program from its compiled code, so that a start need not compile it. Code that another version of
// Node.js or other options compiled is rejected by V8; the program is then compiled from its source.
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const BYTES_PER_LENGTH = 4;

const file = readFileSync(join(__dirname, 'cactusdeal-relay.program'));
const codeStart = BYTES_PER_LENGTH + file.readUInt32BE(0);
const source = file.latin1Slice(BYTES_PER_LENGTH, codeStart);
const cachedData = codeStart < file.length ? file.subarray(codeStart) : undefined;
const filename = join(__dirname, 'cactusdeal-relay.program.js');
const script = new Script(`(function (exports, require, module) {${source}\n})`, {
  filename,
  cachedData,
});
if (process.env.CACTUSDEAL_COMPILED !== undefined) {
  process.once('exit', () =>
    writeFileSync(process.env.CACTUSDEAL_COMPILED, script.createCachedData()),
  );
}
script.runInThisContext()(module.exports, require, module);

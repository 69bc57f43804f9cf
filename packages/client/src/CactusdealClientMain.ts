import { runClient } from './CactusdealClientCommands.js';

process.exitCode = await runClient(process.argv, {
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
});

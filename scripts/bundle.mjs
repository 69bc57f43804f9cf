// Bundles the program that runs on the users' platform into one file under target/, so that a start is cheap.
import { readdirSync } from 'node:fs';
import { build } from 'esbuild';

const packages = readdirSync('packages');
const alias = Object.fromEntries(
  packages.map((name) => [`@cactusdeal/${name}`, `./packages/${name}/src/index.ts`]),
);

await build({
  entryPoints: ['platform/src/CactusdealAdapterMain.ts'],
  outfile: 'target/cactusdeal-relay.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // The program uses one class of the library; loading the rest would double the time of a start.
  alias: { ...alias, undici: './scripts/undici-client.cjs' },
  // Optional native parts of libraries; the programs run without them.
  external: ['cbor-extract'],
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
});

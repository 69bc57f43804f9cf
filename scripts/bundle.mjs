// Bundles the relay, the program that runs on the users' platform, into one file under target/ so that it starts fast.
import { spawnSync } from 'node:child_process';
import {
  copyFileSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const packages = readdirSync('packages');
const alias = Object.fromEntries(
  packages.map((name) => [`@cactusdeal/${name}`, `./packages/${name}/src/index.ts`]),
);

// Node.js modules that libraries import for features that the program does not use; each is loaded on first use.
const LAZY_MODULES = [
  'cluster',
  'https',
  'zlib',
  'v8',
  'crypto',
  'tls',
  'http2',
  'node:sqlite',
  'perf_hooks',
];
// Modules of prom-client that the program does not use; they are replaced by empty ones.
const UNUSED_METRICS_MODULES = /\/(pushgateway|defaultMetrics|cluster)$/;

const lazyModulesPlugin = {
  name: 'lazy-modules',
  setup(bundler) {
    const filter = new RegExp(`^(node:)?(${LAZY_MODULES.join('|')})$`);
    bundler.onResolve({ filter }, ({ path, namespace, importer }) => {
      if (namespace === 'lazy') return { path, external: true };
      return importer.includes('node_modules') ? { path, namespace: 'lazy' } : undefined;
    });
    bundler.onResolve({ filter: UNUSED_METRICS_MODULES }, ({ path, importer }) =>
      importer.includes('prom-client') ? { path, namespace: 'unused' } : undefined,
    );
    bundler.onLoad({ filter: /.*/, namespace: 'unused' }, () => ({ contents: '' }));
    bundler.onLoad({ filter: /.*/, namespace: 'lazy' }, ({ path }) => ({
      contents: formatLazyModule(path),
      loader: 'js',
    }));
  },
};

function formatLazyModule(path) {
  // undici reads `constants` of http2 while it loads, and works when they are missing.
  if (path.endsWith('http2')) return 'module.exports = { constants: {} };';
  return `module.exports = new Proxy({}, { get: (_, name) => require(${JSON.stringify(path)})[name] });`;
}

// What is run; it loads the program from the second file.
const LOADER = 'target/cactusdeal-relay.cjs';
const PROGRAM = 'target/cactusdeal-relay.program';
const BYTES_PER_LENGTH = 4;
// Tests that run at the same time build and start the program; renames keep them from starting half of it.
const partial = (file) => `${file}.${process.pid}`;

const { outputFiles } = await build({
  entryPoints: ['platform/src/CactusdealAdapterMain.ts'],
  write: false,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  charset: 'ascii',
  target: 'node20',
  // The program uses only the class Client of undici; loading all of undici would double the start-up time.
  alias: { ...alias, undici: './scripts/undici-client.cjs' },
  // Optional native add-on of cbor-x; the program works without it.
  external: ['cbor-extract'],
  minifySyntax: true,
  minifyWhitespace: true,
  // Loading the native add-on of cbor-x at start-up costs more time than the add-on saves.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  plugins: [lazyModulesPlugin],
  legalComments: 'none',
  logLevel: 'warning',
});
mkdirSync('target', { recursive: true });
// Source and compiled code share a file, so that a daemon never combines those of two builds.
const source = Buffer.from(outputFiles[0].text, 'latin1');
writeFileSync(partial(PROGRAM), packProgram(Buffer.alloc(0)));
copyFileSync('scripts/loader.cjs', partial(LOADER));
renameSync(partial(PROGRAM), PROGRAM);
renameSync(partial(LOADER), LOADER);
// A start with refused settings compiles what every start needs; the loader writes it to the file. V8 accepts the code
// only with the options that it was compiled with.
const compiled = partial('target/cactusdeal-relay.compiled');
const { run } = parse(readFileSync('deploy/system.toml', 'utf8')).roles.relay;
spawnSync(process.execPath, run.split(' ').slice(1), {
  env: { PATH: process.env.PATH, CACTUSDEAL_COMPILED: compiled },
});
writeFileSync(partial(PROGRAM), packProgram(readFileSync(compiled)));
renameSync(partial(PROGRAM), PROGRAM);
rmSync(compiled);

/** The length of the source, the source, and the compiled code. */
function packProgram(code) {
  const length = Buffer.alloc(BYTES_PER_LENGTH);
  length.writeUInt32BE(source.length);
  return Buffer.concat([length, source, code]);
}

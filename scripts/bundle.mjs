// Bundles the relay, the program that runs on the users' platform, into one file under target/ so that it starts fast.
import { readdirSync, renameSync } from 'node:fs';
import { build } from 'esbuild';

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

const OUTPUT = 'target/cactusdeal-relay.cjs';
// Tests that run at the same time build and start the program; the rename keeps them from starting half of it.
const partialOutput = `${OUTPUT}.${process.pid}`;

await build({
  entryPoints: ['platform/src/CactusdealAdapterMain.ts'],
  outfile: partialOutput,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // The program uses only the class Client of undici; loading all of undici would double the start-up time.
  alias: { ...alias, undici: './scripts/undici-client.cjs' },
  // Optional native add-on of cbor-x; the program works without it.
  external: ['cbor-extract'],
  minifySyntax: true,
  // Loading the native add-on of cbor-x at start-up costs more time than the add-on saves.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  plugins: [lazyModulesPlugin],
  legalComments: 'none',
  logLevel: 'warning',
});
renameSync(partialOutput, OUTPUT);

// Bundles the program that runs on the users' platform into one file under target/, so that a start is cheap.
import { readdirSync } from 'node:fs';
import { build } from 'esbuild';

const packages = readdirSync('packages');
const alias = Object.fromEntries(
  packages.map((name) => [`@cactusdeal/${name}`, `./packages/${name}/src/index.ts`]),
);

// Modules of the runtime that libraries load for what the program never does; each is loaded on its first use.
const RARE_MODULES = [
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
// Parts of the library of metrics that the program does not use.
const UNUSED_PARTS = /\/(pushgateway|defaultMetrics|cluster)$/;

const loadRareModulesLate = {
  name: 'load-rare-modules-late',
  setup(bundler) {
    const filter = new RegExp(`^(node:)?(${RARE_MODULES.join('|')})$`);
    bundler.onResolve({ filter }, ({ path, namespace, importer }) => {
      if (namespace === 'late') return { path, external: true };
      return importer.includes('node_modules') ? { path, namespace: 'late' } : undefined;
    });
    bundler.onResolve({ filter: UNUSED_PARTS }, ({ path, importer }) =>
      importer.includes('prom-client') ? { path, namespace: 'unused' } : undefined,
    );
    bundler.onLoad({ filter: /.*/, namespace: 'unused' }, () => ({ contents: '' }));
    bundler.onLoad({ filter: /.*/, namespace: 'late' }, ({ path }) => ({
      contents: formatLateModule(path),
      loader: 'js',
    }));
  },
};

function formatLateModule(path) {
  // The HTTP library reads names of HTTP/2 as it is loaded, and works without them.
  if (path.endsWith('http2')) return 'module.exports = { constants: {} };';
  return `module.exports = new Proxy({}, { get: (_, name) => require(${JSON.stringify(path)})[name] });`;
}

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
  // The native part of the library costs more at a start than it saves.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  plugins: [loadRareModulesLate],
  legalComments: 'none',
  logLevel: 'warning',
});

/**
 * Bundles the program of a box into target/: one file, its loader, and V8's code cache of it, so
 * that a start neither looks for modules nor compiles what it runs.
 */
import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { builtinModules } from 'node:module';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { findFreePorts } from 'reedlug-standins';

/**
 * Parts of libraries that stand for the whole, so that a start does not load what a box
 * never runs: 34 fewer modules of Node's own (TLS, cryptography, HTTP/2, compression), and
 * 5 % less processor time in the first two seconds (516 for 546 ms, mean of 40 starts).
 */
const PARTS = [
  { filter: /^undici$/, file: './undiciParts.js' },
  { filter: /^prom-client$/, file: './promClientParts.js' },
  { filter: /client-h2\.js$/, file: './noHttp2.cjs' },
  { filter: /^cbor-x$/, file: './cborParts.js' },
];

const libraryParts = {
  name: 'library-parts',
  setup(bundle) {
    for (const { filter, file } of PARTS) {
      const path = fileURLToPath(new URL(file, import.meta.url));
      bundle.onResolve({ filter }, () => ({ path }));
    }
  },
};

/** Node's own modules by `require`: then the bundle is one function without imports, which has a code cache. */
const builtinsByRequire = {
  name: 'builtins-by-require',
  setup(bundle) {
    const namespace = 'node-builtin';
    bundle.onResolve({ filter: /./ }, ({ path, namespace: importer, kind }) => {
      const name = path.replace(/^node:/, '').split('/')[0];
      if (importer === namespace || kind === 'require-call') return undefined;
      return builtinModules.includes(name) ? { path, namespace } : undefined;
    });
    bundle.onLoad({ filter: /./, namespace }, ({ path }) => ({
      contents: `module.exports = require(${JSON.stringify(path)});`,
    }));
  },
};

await build({
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/reedlug-box.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  plugins: [libraryParts, builtinsByRequire],
  // A library asks for it only where there is no `require`.
  define: { 'import.meta.url': '""' },
  banner: { js: '(async function (require) {' },
  footer: { js: '})' },
});

const FLAGS = ['--max-old-space-size=200'];
/** Time in which a box without a platform has run all that a start runs, in ms. */
const WARM_UP_MS = 800;

/** Starts the box once, alone on loopback, and keeps the code that it compiled. */
async function writeCodeCache() {
  const [callers, readiness, peersPort, metricsPort, store] = await findFreePorts(5);
  const settings = {
    box: { id: 'warm-up', ip: '127.0.0.1', zone: 'warm-up' },
    zones: ['warm-up'],
    listen: {
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      peersPort,
      metricsPort,
    },
    store: { address: `127.0.0.1:${store}` },
    bounds: {
      configurationMs: 1000,
      drainMs: 1000,
      graceSeconds: 1,
      retryRatio: 0.1,
      retrySlack: 10,
      leaseMs: 1000,
    },
  };
  const folder = mkdtempSync(join(tmpdir(), 'reedlug-'));
  const path = join(folder, 'box.yaml');
  // JSON is YAML.
  writeFileSync(path, JSON.stringify(settings));
  const env = {
    ...process.env,
    REEDLUG_BOOT: path,
    REEDLUG_WRITE_CODE_CACHE_MS: String(WARM_UP_MS),
  };
  execFileSync(process.execPath, [...FLAGS, 'target/start-box.cjs'], { env, stdio: 'ignore' });
  rmSync(folder, { recursive: true });
}

copyFileSync('deploy/startBox.cjs', 'target/start-box.cjs');
rmSync('target/reedlug-box.cache', { force: true });
try {
  await writeCodeCache();
} catch (error) {
  process.stderr.write(`no code cache, boxes take longer to start: ${error.message}\n`);
}

/** Bundles the program of a box into target/, so that a start reads one file. */
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const undiciParts = {
  name: 'undici-parts',
  setup(bundle) {
    const path = fileURLToPath(new URL('./undiciParts.js', import.meta.url));
    bundle.onResolve({ filter: /^undici$/ }, () => ({ path }));
  },
};

await build({
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/reedlug-box.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  plugins: [undiciParts],
  // Libraries in CommonJS still ask for Node's own modules by `require`.
  banner: {
    js: "import { createRequire as requireOf } from 'node:module'; const require = requireOf(import.meta.url);",
  },
});

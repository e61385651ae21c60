/** Bundles the program of a box into target/, so that a start reads one file. */
import { build } from 'esbuild';

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
  // Libraries in CommonJS still ask for Node's own modules by `require`.
  banner: {
    js: "import { createRequire as requireOf } from 'node:module'; const require = requireOf(import.meta.url);",
  },
});

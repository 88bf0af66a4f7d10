/**
 * Bundles the router daemon, so that it starts faster, into a small first file and the rest: the first file handles signals,
 * which the program gets while the rest is loaded too.
 *
 * usage: node scripts/bundle.mjs [FOLDER]
 */
import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const [folder = "target"] = process.argv.slice(2);

await build({
  absWorkingDir: root,
  entryPoints: { pistachiowayd: "packages/daemon/src/routerMain.ts" },
  outdir: folder,
  outExtension: { ".js": ".mjs" },
  chunkNames: "[name]",
  bundle: true,
  splitting: true,
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["source"],
  alias: {
    undici: "./scripts/undici-client.mjs",
    assert: "./scripts/assert.cjs",
    "node:assert": "./scripts/assert.cjs",
    // Without the native addon, which the bundle could not contain.
    msgpackr: "./node_modules/msgpackr/index.js",
  },
  minifySyntax: true,
  minifyWhitespace: true,
  // Node.js shows and parses whole lines of the source for some errors.
  lineLimit: 500,
  legalComments: "none",
  banner: {
    js: 'import { createRequire as createBundleRequire } from "node:module"; const require = createBundleRequire(import.meta.url);',
  },
});

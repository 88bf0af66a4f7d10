/** Bundles the router daemon into one file, so that it starts faster. */
import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

await build({
  absWorkingDir: root,
  entryPoints: ["packages/daemon/src/routerMain.ts"],
  outfile: "target/pistachiowayd.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["source"],
  alias: {
    undici: "./scripts/undici-client.mjs",
    // Without the native addon, which the bundle could not contain.
    msgpackr: "./node_modules/msgpackr/index.js",
  },
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
  banner: {
    js: 'import { createRequire as createBundleRequire } from "node:module"; const require = createBundleRequire(import.meta.url);',
  },
});

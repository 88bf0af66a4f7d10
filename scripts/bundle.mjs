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
  alias: { undici: "./scripts/undici-client.mjs" },
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});

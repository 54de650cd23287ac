// Bundles the program of the platform's hosts with all libraries into one file,
// so that a process starts without a search for modules.
import { build } from "esbuild";

await build({
  entryPoints: {
    oleanderdeck_sidecar: "platform/oleanderdeck_sidecar_main.ts",
  },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // Libraries in CommonJS call require.
  banner: {
    js:
      "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  sourcemap: "linked",
  logLevel: "warning",
});

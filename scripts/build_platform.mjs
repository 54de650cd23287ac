// Bundles the program for the platform's hosts with all libraries into one file,
// so that it starts without resolving modules.
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

// The exports of undici that the program uses. Its index module also loads fetch,
// caches and web sockets, which would double the start-up time.
const UNDICI_CLIENTS = `
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
import api from "undici/lib/api/index.js";
Object.assign(Dispatcher.prototype, api);
export { default as Client } from "undici/lib/dispatcher/client.js";
export { default as Pool } from "undici/lib/dispatcher/pool.js";
export { default as buildConnector } from "undici/lib/core/connect.js";
`;

const undiciClients = {
  name: "undici-clients",
  setup: ({ onResolve, onLoad }) => {
    onResolve(
      { filter: /^undici$/ },
      () => ({ path: "undici", namespace: "undici-clients" }),
    );
    onLoad({ filter: /.*/, namespace: "undici-clients" }, () => ({
      contents: UNDICI_CLIENTS,
      resolveDir: fileURLToPath(new URL("..", import.meta.url)),
    }));
  },
};

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
  // CommonJS libraries call require, which ES modules do not define.
  banner: {
    js:
      "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  plugins: [undiciClients],
  sourcemap: "linked",
  logLevel: "warning",
});

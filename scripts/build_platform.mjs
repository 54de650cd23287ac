// Bundles the program for the platform's hosts with all libraries into one file,
// so that it starts without resolving modules.
import { mkdir, rename, writeFile } from "node:fs/promises";
import { dirname } from "node:path";
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

// The index module of the histograms also loads readers and writers of logs, of
// which one sets up number formats at its start.
const HISTOGRAM_BUILDER = `
export { build } from "hdr-histogram-js/dist/HistogramBuilder.js";
`;

const resolveDir = fileURLToPath(new URL("..", import.meta.url));

/** Replaces the index module of a library by one with fewer exports. */
function replaceIndex(library, contents) {
  const namespace = `${library}-parts`;
  return {
    name: namespace,
    setup: ({ onResolve, onLoad }) => {
      onResolve(
        { filter: new RegExp(`^${library}$`) },
        () => ({ path: library, namespace }),
      );
      onLoad({ filter: /.*/, namespace }, () => ({ contents, resolveDir }));
    },
  };
}

/** Replaces a file at once, so that a process that starts meanwhile reads all. */
async function replaceFile({ path, contents }) {
  const unfinished = `${path}.${process.pid}`;
  await mkdir(dirname(path), { recursive: true });
  await writeFile(unfinished, contents);
  await rename(unfinished, path);
}

const { outputFiles } = await build({
  entryPoints: {
    oleanderdeck_sidecar: "platform/oleanderdeck_sidecar_main.ts",
  },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  // Halves the text to parse at each start; names stay, for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // CommonJS libraries call require, which ES modules do not define.
  banner: {
    js:
      "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  plugins: [
    replaceIndex("undici", UNDICI_CLIENTS),
    replaceIndex("hdr-histogram-js", HISTOGRAM_BUILDER),
  ],
  sourcemap: "linked",
  write: false,
  logLevel: "warning",
});
await Promise.all(outputFiles.map(replaceFile));

// Bundles each file <program>_main.ts in packages/ and bench/ into
// dist/<program>.mjs. Third-party packages stay external, so that only the code
// of this repository is bundled.
import { readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import { build } from "esbuild";

const manifest = JSON.parse(readFileSync("package.json", "utf8"));

function findPrograms(directory) {
  return readdirSync(directory, { withFileTypes: true })
    .filter((entry) => entry.name !== "node_modules")
    .flatMap((entry) => {
      const path = join(directory, entry.name);
      if (entry.isDirectory()) return findPrograms(path);
      return entry.name.endsWith("_main.ts") ? [path] : [];
    });
}

const programPaths = ["packages", "bench"].flatMap(findPrograms);

await build({
  entryPoints: Object.fromEntries(
    programPaths.map((path) => [basename(path, "_main.ts"), path]),
  ),
  outdir: "dist",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  sourcemap: true,
  external: Object.keys(manifest.dependencies),
  logLevel: "warning",
});

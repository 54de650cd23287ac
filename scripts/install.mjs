// Installs the locked packages unless they are already installed, so that
// `npm run demo` and `npm run verify` work on a fresh clone.
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";

const installed = "node_modules/.package-lock.json";

function versions(path) {
  const packages = JSON.parse(readFileSync(path, "utf8")).packages;
  return Object.entries(packages)
    .filter(([name, entry]) => name.startsWith("node_modules/") && !entry.link)
    .map(([name, entry]) => [name, entry.version, entry.optional ?? false]);
}

function isCurrent() {
  if (!existsSync(installed)) return false;
  const present = new Map(versions(installed));
  return versions("package-lock.json").every(([name, version, optional]) =>
    present.get(name) === version || (optional && !present.has(name))
  );
}

if (!isCurrent()) {
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: "inherit" });
}

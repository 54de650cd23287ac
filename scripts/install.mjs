// Installs the packages of package-lock.json unless they are already installed,
// so that `npm run demo` and `npm run verify` work on a fresh clone.
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";

const INSTALLED_LOCK_PATH = "node_modules/.package-lock.json";

/** Reads name, version and optional flag of each package in a lock file. */
function readVersions(path) {
  const packages = JSON.parse(readFileSync(path, "utf8")).packages;
  return Object.entries(packages)
    .filter(([name, entry]) => name.startsWith("node_modules/") && !entry.link)
    .map(([name, entry]) => [name, entry.version, entry.optional ?? false]);
}

/** Returns whether the installed packages match package-lock.json. */
function isCurrent() {
  if (!existsSync(INSTALLED_LOCK_PATH)) return false;
  const installedVersions = new Map(readVersions(INSTALLED_LOCK_PATH));
  return readVersions("package-lock.json").every(([name, version, optional]) =>
    installedVersions.get(name) === version ||
    (optional && !installedVersions.has(name))
  );
}

if (!isCurrent()) {
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: "inherit" });
}

/** Installs the locked packages when they are missing or out of date. */
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";

/** Returns true when node_modules has the versions of the lock file. */
function isInstalled() {
  const marker = "node_modules/.package-lock.json";
  if (!existsSync(marker)) return false;
  const locked = JSON.parse(readFileSync("package-lock.json", "utf8"));
  const installed = JSON.parse(readFileSync(marker, "utf8"));
  return Object.entries(locked.packages).every(([path, entry]) =>
    path === "" || entry.optional
    || installed.packages[path]?.version === entry.version
  );
}

if (!isInstalled()) {
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: "inherit" });
}

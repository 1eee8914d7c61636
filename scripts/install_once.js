/** Installs the locked packages when they are missing or out of date. */
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";

/** True when node_modules holds what the lock file names. */
function isInstalled() {
  const marker = "node_modules/.package-lock.json";
  if (!existsSync(marker)) return false;
  const wanted = JSON.parse(readFileSync("package-lock.json", "utf8"));
  const held = JSON.parse(readFileSync(marker, "utf8"));
  return Object.entries(wanted.packages).every(([path, entry]) =>
    path === "" || entry.optional
    || held.packages[path]?.version === entry.version
  );
}

if (!isInstalled()) {
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: "inherit" });
}

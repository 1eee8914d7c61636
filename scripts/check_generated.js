/** Fails when src/generated differs from the code generated from proto/. */
import { execFileSync } from "node:child_process";
import { existsSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

if (!existsSync("node_modules/.bin/buf")) {
  console.log("buf is not installed, generated code is not checked");
  process.exit(0);
}
const out = mkdtempSync(join(tmpdir(), "generated-"));
try {
  execFileSync("node_modules/.bin/buf", ["generate", "proto", "-o", out], {
    stdio: "inherit",
  });
  execFileSync("diff", ["-r", join(out, "src/generated"), "src/generated"], {
    stdio: "inherit",
  });
} finally {
  rmSync(out, { recursive: true });
}

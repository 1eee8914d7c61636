/** Compares output with baseline files that are reviewed like code. */

import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";

const directory = join(__dirname, "..", "baselines");

/**
 * Compares a text with a baseline file. With UPDATE_BASELINES=1 the file is
 * overwritten first, to be reviewed before it is committed.
 */
export function expectBaseline(name: string, text: string): void {
  const file = join(directory, name);
  if (process.env["UPDATE_BASELINES"] === "1") {
    mkdirSync(dirname(file), { recursive: true });
    writeFileSync(file, text);
  }
  const baseline = existsSync(file) ? readFileSync(file, "utf8") : "";
  expect(text).toBe(baseline);
}

/** Reads the settings file given to a command. */

import { readFile } from "node:fs/promises";
import { type Either, Left } from "purify-ts";
import { parseSettings } from "../process/settings/settings.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { Settings } from "../types/settings.ts";

/** Reads and parses a settings file; returns all errors at once. */
export async function readSettingsFile(
  file: string,
): Promise<Either<readonly Report[], Settings>> {
  try {
    return parseSettings(await readFile(file, "utf8"), { file });
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    return Left([createReport("settings_unreadable", { file, reason })]);
  }
}

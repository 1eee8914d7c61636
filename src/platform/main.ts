/** Entry point of a router that runs on the users' platform. */

import { write } from "node:fs";
import { readFile } from "node:fs/promises";
import { waitForSignal } from "../cli/signals.ts";
import { createLineWriter } from "../process/telemetry/line_writer.ts";
import { createLog, type Log } from "../process/telemetry/log.ts";
import {
  type DirectRouter,
  startDirectRouter,
} from "../roles/direct_router.ts";
import type { DirectSettings } from "../types/direct_settings.ts";
import { decodeRequest } from "./caller_wire.ts";
import {
  type CheckedSettings,
  formatFinding,
  readNodeSettings,
} from "./node_settings.ts";
import { createStoreClient } from "./store_client.ts";
import { targetWire } from "./target_wire.ts";
import { readinessPath, settingsVariable } from "./wire_names.ts";

/** Exit code of a process that could not start. */
const failedExit = 1;

const lines = createLineWriter({ write: writeStandardOutput });

/** Commands of the bundle, by the first argument. */
const commands: Readonly<
  Record<string, (file: string | undefined) => Promise<void>>
> = { router: runRouter, check: checkSettings };

void main();

async function main(): Promise<void> {
  const [, , name = "router", file] = process.argv;
  const command = commands[name];
  if (command !== undefined) return await command(file);
  lines.writeLine(
    `Unknown command ${name}; there are: ${Object.keys(commands).join(", ")}`,
  );
  await exit(failedExit);
}

/** Prints all that is wrong with a settings file. */
async function checkSettings(
  file = process.env[settingsVariable] ?? "",
): Promise<void> {
  try {
    const read = readNodeSettings(await readFile(file, "utf8"));
    const findings = read.caseOf({
      Left: (errors) => errors,
      Right: ({ warnings }) => warnings,
    });
    findings.forEach((finding) => lines.writeLine(formatFinding(finding)));
    if (read.isLeft()) return await exit(failedExit);
    lines.writeLine(`${file} can be used`);
    await exit(0);
  } catch (error) {
    lines.writeLine(`error: The file cannot be read: ${String(error)}`);
    await exit(failedExit);
  }
}

async function runRouter(): Promise<void> {
  const file = process.env[settingsVariable] ?? "";
  const settings = await readSettings(file);
  if (settings === undefined) return;
  const log = createLog(lines, {
    level: "info",
    fields: { process: settings.id },
  });
  process.on("SIGHUP", () => void reload(log, file));
  try {
    await runUntilSignal(settings, log);
  } catch (error) {
    log.error("Router could not start", { reason: String(error) });
    await exit(failedExit);
  }
}

async function runUntilSignal(
  settings: DirectSettings,
  log: Log,
): Promise<void> {
  log.info("Router starts", { zone: settings.zone, store: settings.store });
  const stopped = waitForSignal(log);
  const router: DirectRouter = await startDirectRouter({
    settings,
    store: createStoreClient(settings.store),
    codec: targetWire,
    log,
    readinessPath,
    decodeRequest,
  });
  await router.stop(await stopped);
  await exit(0);
}

/** Settings that a running process could take over do not exist yet. */
async function reload(log: Log, file: string): Promise<void> {
  try {
    const read = readNodeSettings(await readFile(file, "utf8"));
    read.caseOf({
      Left: (errors) =>
        errors.forEach((error) =>
          log.warn("Settings were not taken", {
            file,
            reason: formatFinding(error),
          })
        ),
      Right: ({ warnings }) =>
        log.info("Settings were read again", {
          file,
          warnings: warnings.map(formatFinding).join("; ") || undefined,
        }),
    });
  } catch (error) {
    log.warn("Settings cannot be read", { file, reason: String(error) });
  }
}

async function readSettings(
  file: string,
): Promise<DirectSettings | undefined> {
  const log = createLog(lines, { level: "info", fields: {} });
  try {
    const read = readNodeSettings(await readFile(file, "utf8"));
    if (read.isRight()) {
      const { settings, warnings } = read.extract() as CheckedSettings;
      warnings.forEach((warning) =>
        log.warn("A setting was replaced", {
          file,
          reason: formatFinding(warning),
        })
      );
      return settings;
    }
    read.ifLeft((errors) =>
      errors.forEach((error) =>
        log.error("Settings are wrong", { file, reason: formatFinding(error) })
      )
    );
  } catch (error) {
    log.error("Settings cannot be read", { file, reason: String(error) });
  }
  await exit(failedExit);
  return undefined;
}

async function exit(code: number): Promise<never> {
  await lines.flush();
  process.exit(code);
}

/** Writes from a thread, so that a full pipe holds up no request. */
function writeStandardOutput(
  data: Uint8Array,
  done: (error: Error | undefined) => void,
): void {
  write(process.stdout.fd, data, 0, data.length, null, (error, written) => {
    if (error === null && written < data.length) {
      writeStandardOutput(data.subarray(written), done);
      return;
    }
    done(error ?? undefined);
  });
}

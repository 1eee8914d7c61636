/** Entry point of a router that runs on the users' platform. */

// The promise API would load the runtime's readline modules at each start.
import { readFileSync, write } from "node:fs";
import { waitForSignal } from "../cli/signals.ts";
import { waitForTooManyErrors } from "../cli/unexpected_errors.ts";
import { createLineWriter } from "../process/telemetry/line_writer.ts";
import { createLog, type Log } from "../process/telemetry/log.ts";
import {
  type DirectRouter,
  startDirectRouter,
} from "../roles/direct_router.ts";
import type { DirectSettings } from "../types/direct_settings.ts";
import { decodeRequest } from "./caller_codec.ts";
import {
  type CheckedSettings,
  formatFinding,
  parseNodeSettings,
} from "./node_settings.ts";
import { createStoreClient } from "./store_client.ts";
import { targetCodec } from "./target_codec.ts";
import { readinessPath, settingsVariable } from "./wire_names.ts";

/** Exit code of a failed start, a failed check or an unknown command. */
const failureExitCode = 1;

const output = createLineWriter({ write: writeStdout });

/** Commands of the bundle, by the first command line argument. */
const commands: Readonly<
  Record<string, (file: string | undefined) => Promise<void>>
> = { router: runRouter, check: checkSettings };

void main();

async function main(): Promise<void> {
  const [, , name = "router", file] = process.argv;
  const command = commands[name];
  if (command !== undefined) return await command(file);
  output.writeLine(
    `Unknown command ${name}; commands: ${Object.keys(commands).join(", ")}`,
  );
  await flushAndExit(failureExitCode);
}

/** Checks a settings file and prints all findings. */
async function checkSettings(
  file = process.env[settingsVariable] ?? "",
): Promise<void> {
  try {
    const parsed = parseNodeSettings(readFileSync(file, "utf8"));
    const findings = parsed.caseOf({
      Left: (errors) => errors,
      Right: ({ warnings }) => warnings,
    });
    findings.forEach((finding) => output.writeLine(formatFinding(finding)));
    if (parsed.isLeft()) return await flushAndExit(failureExitCode);
    output.writeLine(`${file} is valid`);
    await flushAndExit(0);
  } catch (error) {
    output.writeLine(`error: The file cannot be read: ${String(error)}`);
    await flushAndExit(failureExitCode);
  }
}

async function runRouter(): Promise<void> {
  const file = process.env[settingsVariable] ?? "";
  const settings = tryReadSettings(file);
  if (settings === undefined) return await flushAndExit(failureExitCode);
  const log = createLog(output, {
    level: "info",
    fields: { process: settings.id },
  });
  process.on("SIGHUP", () => recheckSettings(log, file));
  try {
    await runUntilSignal(settings, log);
  } catch (error) {
    log.error("Router could not start", { reason: String(error) });
    await flushAndExit(failureExitCode);
  }
}

async function runUntilSignal(
  settings: DirectSettings,
  log: Log,
): Promise<void> {
  log.info("Router starts", { zone: settings.zone, store: settings.store });
  const stopSignal = waitForSignal(log);
  const router: DirectRouter = await startDirectRouter({
    settings,
    store: createStoreClient(settings.store),
    codec: targetCodec,
    log,
    readinessPath,
    decodeRequest,
  });
  // An error before this point ends the process, which is not started yet.
  const reason = await Promise.race([stopSignal, waitForTooManyErrors(log)]);
  await router.stop(reason);
  await flushAndExit(reason === "unexpected_errors" ? failureExitCode : 0);
}

/**
 * Checks the settings file on SIGHUP and logs the findings. A running process
 * cannot change its settings yet.
 */
function recheckSettings(log: Log, file: string): void {
  try {
    const parsed = parseNodeSettings(readFileSync(file, "utf8"));
    parsed.caseOf({
      Left: (errors) =>
        errors.forEach((error) =>
          log.warn("Settings are invalid", {
            file,
            reason: formatFinding(error),
          })
        ),
      Right: ({ warnings }) =>
        log.info("Settings are valid, a restart applies them", {
          file,
          warnings: warnings.map(formatFinding).join("; ") || undefined,
        }),
    });
  } catch (error) {
    log.warn("Settings file cannot be read", { file, reason: String(error) });
  }
}

function tryReadSettings(file: string): DirectSettings | undefined {
  const log = createLog(output, { level: "info", fields: {} });
  try {
    const parsed = parseNodeSettings(readFileSync(file, "utf8"));
    if (parsed.isRight()) {
      const { settings, warnings } = parsed.extract() as CheckedSettings;
      warnings.forEach((warning) =>
        log.warn("A setting was replaced", {
          file,
          reason: formatFinding(warning),
        })
      );
      return settings;
    }
    parsed.ifLeft((errors) =>
      errors.forEach((error) =>
        log.error("Settings are invalid", {
          file,
          reason: formatFinding(error),
        })
      )
    );
  } catch (error) {
    log.error("Settings file cannot be read", { file, reason: String(error) });
  }
  return undefined;
}

async function flushAndExit(code: number): Promise<never> {
  await output.flush();
  process.exit(code);
}

/** Writes in the thread pool, so that a full pipe cannot block requests. */
function writeStdout(
  data: Uint8Array,
  done: (error: Error | undefined) => void,
): void {
  write(process.stdout.fd, data, 0, data.length, null, (error, written) => {
    if (error === null && written < data.length) {
      writeStdout(data.subarray(written), done);
      return;
    }
    done(error ?? undefined);
  });
}

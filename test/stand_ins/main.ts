/** Entry point of the stand-ins; each one has a subcommand. */

import { parseArgs } from "node:util";
import { startEngine } from "./engine/server.ts";
import { defaultEngineSettings } from "./engine/engine.ts";
import { type ServerHandle } from "./http.ts";
import { startPlatform } from "./platform/server.ts";
import { startRelay } from "./relay/server.ts";
import { defaultServiceSettings, startService } from "./service/server.ts";

/** Command-line options of every stand-in. */
interface StandInOptions {
  readonly id: string;
  readonly port: number;
  readonly address: string;
  /** Settings that override the defaults. */
  readonly settings: Readonly<Record<string, unknown>>;
}

/** Exit code of an engine or a service that crashes on request. */
const crashExitCode = 70;

const starters: Readonly<
  Record<string, (options: StandInOptions) => Promise<ServerHandle>>
> = {
  platform: startPlatform,
  relay: startRelay,
  engine: (options) =>
    startEngine(
      { ...defaultEngineSettings, ...options.settings, id: options.id },
      { ...options, crash },
    ),
  service: (options) =>
    startService(
      { ...defaultServiceSettings, ...options.settings, id: options.id },
      { ...options, crash },
    ),
};

/** Starts the stand-in that the command line names. */
async function main(): Promise<void> {
  const { positionals, values } = parseArgs({
    allowPositionals: true,
    options: {
      id: { type: "string", default: "" },
      port: { type: "string", default: "0" },
      address: { type: "string", default: "127.0.0.1" },
      settings: { type: "string", default: "{}" },
    },
  });
  const kind = positionals[0] ?? "";
  const start = starters[kind];
  if (start === undefined) {
    const kinds = Object.keys(starters).join(", ");
    process.stderr.write(`The stand-in must be one of: ${kinds}\n`);
    process.exitCode = 2;
    return;
  }
  const { port } = await start({
    id: values.id === "" ? kind : values.id,
    port: Number(values.port),
    address: values.address,
    settings: JSON.parse(values.settings),
  });
  process.stdout.write(`${JSON.stringify({ ready: kind, port })}\n`);
}

function crash(): void {
  process.exit(crashExitCode);
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});

/** The command that asks a router where a request would go. */

import { Command, Option } from "clipanion";
import { tryParseParts } from "../../roles/dry_run_question.ts";
import { createReport } from "../../types/diagnostics.ts";
import { type DryRunAnswer, dryRunPath } from "../../types/dry_run.ts";
import type { AdminCallError } from "../admin_client.ts";
import { formatDryRun } from "../dry_run_text.ts";
import { type ErrorBody, toErrorBody } from "../output.ts";
import { OutputCommand } from "./base.ts";

/** Address at which a router serves metrics by default. */
const defaultAddress = "127.0.0.1:9464";

/** Time in which the router has to answer, in milliseconds. */
const answerTimeoutMs = 2_000;

/** Asks where a request would go, and why. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export class DryRunCommand extends OutputCommand {
  static override readonly paths = [["dry-run"]];
  static override readonly usage = Command.Usage({
    category: "Operations",
    description: "Show where a request would go now, and why",
    details: `
      Asks a router, over the port that serves its metrics, which target such a
      request would be sent to now, and what keeps it from the others. Nothing is
      sent, counted or reserved. Give the service, or the host and path. The last
      part of a prompt is the request's own, the others may be shared. Exits with
      code 1 if the router does not know the service, route or workspace, has no
      configuration or is too old, and with code 3 if it does not answer within
      2 s.
    `,
    examples: [
      ["Ask for a service", "$0 dry-run --router 10.0.0.7:9464 --service chat"],
      [
        "Ask for a prompt with a shared part",
        "$0 dry-run --service chat --workspace studio-3 --prompt manual:9000,own:200",
      ],
    ],
  });
  readonly router = Option.String("--router", defaultAddress, {
    description: "Address at which a router serves its metrics, host:port",
  });
  readonly service = Option.String("--service", {
    description: "Name of the service",
  });
  readonly host = Option.String("--host", {
    description: "Host that the caller asks for",
  });
  readonly requestPath = Option.String("--path", {
    description: "Path that the caller asks for",
  });
  readonly workspace = Option.String("--workspace", {
    description: "Workspace of the caller",
  });
  readonly prompt = Option.String("--prompt", {
    description: "Parts of the prompt, ID:TOKENS,...",
  });
  readonly resumes = Option.String("--resumes", {
    description: "Id of the request whose stream is taken up",
  });

  async execute(): Promise<number> {
    const { service, host, requestPath: path, workspace, prompt, resumes } =
      this;
    const isPath = host !== undefined && path !== undefined;
    const hasService = service !== undefined;
    if (hasService === isPath || (hasService && (host ?? path) !== undefined)) {
      return this.writeArgumentError(
        "The request",
        "given by --service, or by --host and --path",
      );
    }
    if (prompt !== undefined && tryParseParts(prompt) === undefined) {
      return this.writeArgumentError("The prompt", "ID:TOKENS,...");
    }
    const query = new URLSearchParams();
    Object.entries({ service, host, path, workspace, prompt, resumes })
      .forEach(([name, value]) => {
        if (value !== undefined) query.set(name, value);
      });
    return await this.callAndWrite(
      {
        method: "GET",
        address: this.router,
        path: `${dryRunPath}?${query}`,
        timeoutMs: answerTimeoutMs,
      },
      (body) => formatDryRun(body as DryRunAnswer),
      (error) => describeErrors(error, this.router),
    );
  }
}

/** A router without the route answers that there is nothing at its path. */
function describeErrors(
  { errors }: AdminCallError,
  address: string,
): readonly ErrorBody[] {
  return errors.map((error) =>
    error.code === "not_found"
      ? toErrorBody(createReport("dry_run_unsupported", { address }))
      : error
  );
}

/** The command that explains from logs how a request was handled. */

import { Command, Option } from "clipanion";
import { explainRequest } from "../explanation.ts";
import { OutputCommand } from "./base.ts";

/** Explains how one request was handled. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export class ExplainCommand extends OutputCommand {
  static override readonly paths = [["explain"]];
  static override readonly usage = Command.Usage({
    category: "Operations",
    description: "Explain from logs how a request was handled",
    details: `
      Reads the logs of one or more routers from standard input and prints the
      lines that concern the request: its attempts and its outcome, and changes
      of its targets, the configuration and the store. Exits with code 2 if the
      logs do not contain the request.
    `,
    examples: [["Explain a request", "$0 explain 9c41d07be2a35f68"]],
  });
  readonly request = Option.String({ name: "request id" });

  async execute(): Promise<number> {
    let logs = "";
    for await (const chunk of this.context.stdin) logs += String(chunk);
    const lines = explainRequest(logs, this.request);
    return lines.length === 0
      ? this.writeArgumentError("The request id", "in the logs")
      : this.writeResult({ request: this.request, lines }, lines);
  }
}

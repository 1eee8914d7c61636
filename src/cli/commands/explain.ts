/** The command that explains a request from logs. */

import { Command, Option } from "clipanion";
import { explainRequest } from "../explanation.ts";
import { OutputCommand } from "./base.ts";

/** Explains one request. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export class ExplainCommand extends OutputCommand {
  static override readonly paths = [["explain"]];
  static override readonly usage = Command.Usage({
    category: "Operations",
    description: "Explain what became of a request, from logs",
    details: `
      Reads the logs of one or several routers on standard input and prints the
      lines that bear on the request: its tries and its end, news of the targets
      that it was sent to, the configuration and the store. Ends with exit code
      2 when the logs do not know the request.
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

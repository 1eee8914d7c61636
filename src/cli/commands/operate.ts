/** Commands that inspect and control running processes. */

import { Command, Option } from "clipanion";
import { formatTable } from "../output.ts";
import { formatJson, OutputCommand, RouterCommand } from "./base.ts";

const category = "Operations";

/** Prints the full state of a process. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export class DumpCommand extends OutputCommand {
  static override readonly paths = [["dump"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Print the full state of a process",
    examples: [["Print the state of a router", "$0 dump 10.0.0.7:7300"]],
  });
  readonly address = Option.String({ name: "admin address" });

  async execute(): Promise<number> {
    const { address } = this;
    return await this.callAndWrite(
      { method: "GET", address, path: "/dump" },
      formatJson,
    );
  }
}

/** Drains a process: it accepts no new work. */
// eslint-disable-next-line no-restricted-syntax
export class DrainCommand extends OutputCommand {
  static override readonly paths = [["drain"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Drain a process: finish work in flight, accept no new work",
    examples: [
      ["Drain a target", "$0 drain 10.0.1.4:7300 --operator mina"],
    ],
  });
  readonly address = Option.String({ name: "admin address" });
  readonly operator = Option.String("--operator", {
    required: true,
    description: "Name of the operator, for the log",
  });

  async execute(): Promise<number> {
    const { address, operator } = this;
    return await this.callAndWrite(
      { method: "POST", address, path: "/drain", body: { operator } },
      (body) => [`${(body as { id: string }).id} is leaving`],
    );
  }
}

/** Prints a summary of a process's state. */
// eslint-disable-next-line no-restricted-syntax
export class StatusCommand extends RouterCommand {
  static override readonly paths = [["status"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Print a summary of a process and its view of the fleet",
    examples: [[
      "Print the status of a router",
      "$0 status --router 10.0.0.7:7300",
    ]],
  });

  async execute(): Promise<number> {
    return await this.callAndWrite(
      { method: "GET", address: this.router, path: "/status" },
      formatStatus,
    );
  }
}

/** Sends a fenced order to an engine. */
// eslint-disable-next-line no-restricted-syntax
export class OrderCommand extends RouterCommand {
  static override readonly paths = [["order"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Order an engine to load or unload an adapter",
    details: `
      The agent beside the engine forwards the order. Each order carries the
      next fencing number, so that an older order that arrives later has no
      effect. Use --fencing-number to retry an order with its original number.
    `,
    examples: [
      [
        "Load an adapter",
        "$0 order load_adapter short-notes --target agent-a1 --operator mina",
      ],
    ],
  });
  readonly action = Option.String({ name: "action" });
  readonly adapter = Option.String({ name: "adapter" });
  readonly target = Option.String("--target", {
    required: true,
    description: "Id of the agent",
  });
  readonly operator = Option.String("--operator", {
    required: true,
    description: "Name of the operator",
  });
  readonly fencingNumber = Option.String("--fencing-number", {
    description: "Fencing number of the order to retry",
  });

  async execute(): Promise<number> {
    const { action, adapter, operator, target } = this;
    if (action !== "load_adapter" && action !== "unload_adapter") {
      return this.writeArgumentError(
        "The action",
        "load_adapter or unload_adapter",
      );
    }
    const fencingNumber = this.fencingNumber === undefined
      ? undefined
      : Number(this.fencingNumber);
    return await this.callAndWrite({
      method: "POST",
      address: this.router,
      path: "/orders",
      body: { action, adapter, operator, target, fencingNumber },
    }, (body) => {
      const accepted = body as { target: string; fencingNumber: number };
      return [
        `${accepted.target} accepted the order as ${accepted.fencingNumber}`,
      ];
    });
  }
}

/** Formats a status and the member counts that the process knows. */
function formatStatus(body: unknown): readonly string[] {
  const { members, ...status } = body as {
    readonly members: Readonly<Record<string, number>>;
  };
  const rows = Object.entries({ ...status, ...members })
    .map(([name, value]) => [name, String(value)]);
  return formatTable(rows);
}

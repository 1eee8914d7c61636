/** Commands that look into and steer running processes. */

import { Command, Option } from "clipanion";
import { formatTable } from "../output.ts";
import { formatJson, OutputCommand, RouterCommand } from "./base.ts";

const category = "Operations";

/** Prints the state of a process. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export class DumpCommand extends OutputCommand {
  static override readonly paths = [["dump"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Print the whole state of a process",
    examples: [["Dump a router", "$0 dump 10.0.0.7:7300"]],
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

/** Makes a process take no new work. */
// eslint-disable-next-line no-restricted-syntax
export class DrainCommand extends OutputCommand {
  static override readonly paths = [["drain"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Make a process leave: no new work, work in flight goes on",
    examples: [
      ["Drain a target", "$0 drain 10.0.1.4:7300 --operator mina"],
    ],
  });
  readonly address = Option.String({ name: "admin address" });
  readonly operator = Option.String("--operator", {
    required: true,
    description: "Who drains it, for the log",
  });

  async execute(): Promise<number> {
    const { address, operator } = this;
    return await this.callAndWrite(
      { method: "POST", address, path: "/drain", body: { operator } },
      (body) => [`${(body as { id: string }).id} is leaving`],
    );
  }
}

/** Prints a short state of a process. */
// eslint-disable-next-line no-restricted-syntax
export class StatusCommand extends RouterCommand {
  static override readonly paths = [["status"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Print a short state of a process and its view of the fleet",
    examples: [["Ask a router", "$0 status --router 10.0.0.7:7300"]],
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
      The order goes through the agent beside the engine and carries the next
      fencing number, so that an older order that arrives later changes
      nothing. Give --fencing-number to repeat an order with its own number.
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
    description: "Who orders it",
  });
  readonly fencingNumber = Option.String("--fencing-number", {
    description: "Number of an order that is repeated",
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

/** Lays out a state with the members that the process knows. */
function formatStatus(body: unknown): readonly string[] {
  const { members, ...status } = body as {
    readonly members: Readonly<Record<string, number>>;
  };
  const rows = Object.entries({ ...status, ...members })
    .map(([name, value]) => [name, String(value)]);
  return formatTable(rows);
}

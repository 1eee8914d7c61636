/** Serves the route on which operators send fenced orders to engines. */

import type { EitherAsync } from "purify-ts";
import type {
  AdminCall,
  AdminResponse,
  AdminRoute,
} from "../connection/admin_listener.ts";
import type { TargetOrder } from "../connection/order_client.ts";
import { acquireFencingNumber } from "../process/attempts/fencing_numbers.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { Member } from "../types/member.ts";
import type { Platform } from "../types/platform.ts";
import type { Fleet } from "../types/role.ts";

/** Sends an order to the agent that the member record describes. */
export type SendOrder = (
  member: Member,
  order: TargetOrder,
) => EitherAsync<Report, void>;

/** Dependencies of the order route. */
export interface OrderRouteHost {
  readonly fleet: Fleet;
  readonly platform: Platform;
  readonly sendOrder: SendOrder;
}

interface OrderBody {
  readonly target?: unknown;
  readonly action?: unknown;
  readonly adapter?: unknown;
  readonly operator?: unknown;
  readonly fencingNumber?: unknown;
}

type Field = keyof OrderBody;

const fieldRules: Readonly<
  Record<Field, { readonly expected: string; accepts(value: unknown): boolean }>
> = {
  target: {
    expected: "the id of an agent",
    accepts: (value) => value === undefined || isNonEmptyString(value),
  },
  action: {
    expected: '"load_adapter" or "unload_adapter"',
    accepts: (value) => value === "load_adapter" || value === "unload_adapter",
  },
  adapter: { expected: "the name of an adapter", accepts: isNonEmptyString },
  operator: { expected: "the operator's name", accepts: isNonEmptyString },
  fencingNumber: {
    expected: "a whole number above 0, or left out to take the next one",
    accepts: (value) =>
      value === undefined || (Number.isSafeInteger(value) && Number(value) > 0),
  },
};

/** Creates the order route. */
export function createOrderRoute(host: OrderRouteHost): AdminRoute {
  return { method: "POST", path: "/orders", handle };

  async function handle(call: AdminCall): Promise<AdminResponse> {
    const body = (call.body ?? {}) as OrderBody;
    const fieldReports = (Object.keys(fieldRules) as Field[])
      .filter((field) => !fieldRules[field].accepts(body[field]))
      .map((field) => {
        const { expected } = fieldRules[field];
        return createReport("bad_field", { field, expected });
      });
    if (fieldReports.length > 0) return toReports(fieldReports);
    const id = String(body.target ?? host.fleet.getSelf().id);
    const member = host.fleet.members.tryGetMember(id);
    if (member?.role !== "agent") {
      const { expected } = fieldRules.target;
      return toReports([
        createReport("bad_field", { field: "target", expected }),
      ]);
    }
    return await sendOrder(member, body);
  }

  async function sendOrder(
    member: Member,
    body: OrderBody,
  ): Promise<AdminResponse> {
    const operator = String(body.operator);
    const fencingNumber = body.fencingNumber === undefined
      ? await tryTakeFencingNumber(member, operator)
      : Number(body.fencingNumber);
    if (fencingNumber === undefined) {
      return toReports([createReport("platform_unavailable")]);
    }
    const sent = await host.sendOrder(member, {
      action: body.action as TargetOrder["action"],
      adapter: String(body.adapter),
      fencingNumber,
      operator,
    }).run();
    return sent.caseOf<AdminResponse>({
      Left: (report) => toReports([report]),
      Right: () => ({
        kind: "json",
        status: 200,
        body: { target: member.id, accepted: true, fencingNumber },
      }),
    });
  }

  async function tryTakeFencingNumber(
    member: Member,
    operator: string,
  ): Promise<number | undefined> {
    const taken = await acquireFencingNumber(host.platform, {
      target: member.id,
      operator,
    }).run();
    return taken.toMaybe().extract();
  }
}

function isNonEmptyString(value: unknown): boolean {
  return typeof value === "string" && value.length > 0;
}

function toReports(reports: readonly Report[]): AdminResponse {
  return { kind: "reports", reports };
}

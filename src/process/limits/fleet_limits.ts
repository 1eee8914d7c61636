/** Keeps the limits of workspaces over all routers. */

import type {
  LimitGrant,
  LimitRequest,
} from "../../generated/mimosatray/v1/control.ts";
import type { ConfigurationStore } from "../../types/role.ts";
import type { LimitView } from "../../types/view.ts";
import {
  type DatagramSender,
  type Endpoint,
  getEndpoint,
} from "../membership/control_sender.ts";
import { createLimitHome } from "./limit_home.ts";
import {
  createLimitShares,
  type LimitAsk,
  type LimitPlace,
} from "./limit_shares.ts";
import { hashText } from "../membership/member_order.ts";
import type { Membership } from "../membership/membership.ts";
import type { Member } from "../../types/member.ts";

/** What the limits need from outside. */
export interface FleetLimitsHost {
  readonly membership: Membership;
  readonly configuration: Pick<ConfigurationStore, "getConfiguration">;
  readonly send: DatagramSender;
}

/** The limits as one process keeps and asks for them. */
export interface FleetLimits extends LimitView {
  handleRequest(
    request: LimitRequest,
    options: { readonly sender: string; readonly from: Endpoint },
  ): void;
  handleGrant(grant: LimitGrant): void;
  dropIdle(): void;
  /** Limits kept here, and limits asked for. */
  getSizes(): { readonly kept: number; readonly used: number };
}

/** Creates the limits of a process. */
export function createFleetLimits(
  host: FleetLimitsHost,
  options: { readonly random: () => number },
): FleetLimits {
  const { membership, send } = host;
  const home = createLimitHome(options);
  const shares = createLimitShares({
    getRate,
    getHome,
    countRouters: () => Math.max(1, getRouters().length),
    grantHere: (workspace, amount) =>
      home.grant(workspace, {
        asker: membership.getSelf().id,
        amount,
        ratePerSecond: getRate(workspace),
      }),
    ask,
    random: options.random,
  });
  let routers: readonly Member[] = [];
  let routersFrom: readonly Member[] | undefined;
  const homes = new Map<string, Member>();

  return {
    acquire: shares.acquire,
    handleRequest,
    handleGrant: ({ sequence, workspace, amount, retryAfterMs }) =>
      shares.noteGrant({ sequence, workspace, amount }, retryAfterMs),
    dropIdle: () => {
      home.dropIdle();
      shares.dropIdle();
    },
    getSizes: () => ({ kept: home.getSize(), used: shares.getSize() }),
  };

  function getRate(workspace: string): number {
    const { workspaces } = host.configuration.getConfiguration();
    return workspaces.get(workspace)?.requestsPerSecond ?? 0;
  }

  function getRouters(): readonly Member[] {
    const members = membership.table.getAll();
    if (routersFrom === members) return routers;
    routersFrom = members;
    routers = members.filter(({ role, state }) =>
      role === "router" && state === "live"
    );
    homes.clear();
    return routers;
  }

  /** The live router that ranks first for the workspace. */
  function getHome(workspace: string): LimitPlace {
    const candidates = getRouters();
    const first = homes.get(workspace) ?? rankFirst(workspace, candidates);
    if (first === undefined) return { kind: "nowhere" };
    homes.set(workspace, first);
    const isHere = first.id === membership.getSelf().id;
    return isHere ? { kind: "here" } : { kind: "at", id: first.id };
  }

  function ask(
    id: string,
    request: LimitAsk,
  ): void {
    const member = membership.table.tryGet(id);
    if (member === undefined) return;
    send({ $case: "limitRequest", value: { ...request } }, {
      to: getEndpoint(member),
      purpose: "limits",
      class: "limit",
    });
  }

  /** Whoever is asked grants: the asker may see other members than this. */
  function handleRequest(
    request: LimitRequest,
    { sender, from }: { readonly sender: string; readonly from: Endpoint },
  ): void {
    const { sequence, workspace, amount } = request;
    const ratePerSecond = getRate(workspace);
    if (ratePerSecond <= 0) return;
    const granted = home.grant(workspace, {
      asker: sender,
      amount,
      ratePerSecond,
    });
    send({
      $case: "limitGrant",
      value: { sequence, workspace, ...granted },
    }, { to: from, purpose: "limits", class: "limit" });
  }
}

function rankFirst(
  workspace: string,
  routers: readonly Member[],
): Member | undefined {
  let first: Member | undefined;
  let highest = -1;
  for (const router of routers) {
    const rank = hashText(`limit/${workspace}/${router.id}`);
    if (rank <= highest) continue;
    highest = rank;
    first = router;
  }
  return first;
}

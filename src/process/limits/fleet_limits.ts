/**
 * Enforces the limits of workspaces across all routers. Rendezvous hashing
 * assigns each limit to one router, its owner; the others request grants from
 * it. A limit therefore also holds when a surge is spread over all routers.
 */

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
import { createLimitOwner } from "./limit_owner.ts";
import {
  createLimitClient,
  type GrantMessage,
  type OwnerLocation,
} from "./limit_client.ts";
import { hashText } from "../membership/member_order.ts";
import type { Membership } from "../membership/membership.ts";
import type { Member } from "../../types/member.ts";

/** The dependencies of the limits. */
export interface FleetLimitsHost {
  readonly membership: Membership;
  readonly configuration: Pick<ConfigurationStore, "getConfiguration">;
  readonly send: DatagramSender;
}

/** The limits that one process owns and those that it requests grants for. */
export interface FleetLimits extends LimitView {
  /** Responds to another router's grant request. */
  handleRequest(
    request: LimitRequest,
    options: { readonly sender: string; readonly from: Endpoint },
  ): void;
  /** Applies the response to a grant request of this router. */
  handleGrant(grant: LimitGrant): void;
  /** Drops the state of limits that are not in use. */
  dropIdle(): void;
  /** Returns the number of limits owned here, and of limits used here. */
  getSizes(): { readonly kept: number; readonly used: number };
}

/** Creates the limits of a process. */
export function createFleetLimits(
  host: FleetLimitsHost,
  options: { readonly random: () => number },
): FleetLimits {
  const { membership, send } = host;
  const limitOwner = createLimitOwner(options);
  const client = createLimitClient({
    getRate,
    getOwner,
    getRouterCount: () => Math.max(1, getRouters().length),
    grantLocally: (workspace, amount) =>
      limitOwner.grant(workspace, {
        requester: membership.getSelf().id,
        amount,
        ratePerSecond: getRate(workspace),
      }),
    sendGrantRequest,
    random: options.random,
  });
  let routers: readonly Member[] = [];
  let routersSource: readonly Member[] | undefined;
  const owners = new Map<string, Member>();

  return {
    acquire: client.acquire,
    handleRequest,
    handleGrant: ({ sequence, workspace, amount, retryAfterMs }) =>
      client.handleGrant({ sequence, workspace, amount }, retryAfterMs),
    dropIdle: () => {
      limitOwner.dropIdle();
      client.dropIdle();
    },
    getSizes: () => ({ kept: limitOwner.getSize(), used: client.getSize() }),
  };

  function getRate(workspace: string): number {
    const { workspaces } = host.configuration.getConfiguration();
    return workspaces.get(workspace)?.requestsPerSecond ?? 0;
  }

  function getRouters(): readonly Member[] {
    const members = membership.table.getAll();
    if (routersSource === members) return routers;
    routersSource = members;
    routers = members.filter(({ role, state }) =>
      role === "router" && state === "live"
    );
    owners.clear();
    return routers;
  }

  /** Returns which live router ranks first for the workspace. */
  function getOwner(workspace: string): OwnerLocation {
    const candidates = getRouters();
    const owner = owners.get(workspace) ?? findOwner(workspace, candidates);
    if (owner === undefined) return { kind: "nowhere" };
    owners.set(workspace, owner);
    const isHere = owner.id === membership.getSelf().id;
    return isHere ? { kind: "here" } : { kind: "at", id: owner.id };
  }

  function sendGrantRequest(
    id: string,
    request: GrantMessage,
  ): void {
    const member = membership.table.tryGet(id);
    if (member === undefined) return;
    send({ $case: "limitRequest", value: { ...request } }, {
      to: getEndpoint(member),
      purpose: "limits",
      class: "limit",
    });
  }

  /**
   * Grants even when this router is not the owner in its own view: the views of
   * the members may differ between routers.
   */
  function handleRequest(
    request: LimitRequest,
    { sender, from }: { readonly sender: string; readonly from: Endpoint },
  ): void {
    const { sequence, workspace, amount } = request;
    const ratePerSecond = getRate(workspace);
    if (ratePerSecond <= 0) return;
    const granted = limitOwner.grant(workspace, {
      requester: sender,
      amount,
      ratePerSecond,
    });
    send({
      $case: "limitGrant",
      value: { sequence, workspace, ...granted },
    }, { to: from, purpose: "limits", class: "limit" });
  }
}

/** Returns the router with the highest rank for the workspace. */
function findOwner(
  workspace: string,
  routers: readonly Member[],
): Member | undefined {
  let owner: Member | undefined;
  let maxRank = -1;
  for (const router of routers) {
    const rank = hashText(`limit/${workspace}/${router.id}`);
    if (rank <= maxRank) continue;
    maxRank = rank;
    owner = router;
  }
  return owner;
}

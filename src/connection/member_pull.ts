/** Serves member records to other processes and pulls them, over gRPC. */

import {
  credentials,
  makeGenericClientConstructor,
  Metadata,
  type sendUnaryData,
  type Server,
  type ServerUnaryCall,
  status,
} from "@grpc/grpc-js";
import type { ControlServiceClient } from "../generated/mimosatray/v1/control.ts";
import {
  ControlServiceService,
  type PullMembersRequest,
  PullMembersResponse,
} from "../generated/mimosatray/v1/control.ts";
import {
  callOverheadBytes,
  type ControlBudget,
} from "../process/membership/control_budget.ts";
import { tryParseMember } from "../process/membership/datagram_codec.ts";
import {
  bucketCount,
  type MemberTable,
} from "../process/membership/member_table.ts";
import type { Member } from "../types/member.ts";
import { limitResponses } from "./message_limits.ts";

/** Timeout of a pull, including its connection, in milliseconds. */
const pullTimeoutMs = 2_000;

const LimitedClient = makeGenericClientConstructor(
  limitResponses(ControlServiceService),
  "mimosatray.v1.ControlService",
) as unknown as typeof ControlServiceClient;

/** What serving pulls needs from the process. */
export interface MemberPullHost {
  readonly budget: ControlBudget;
  readonly table: Pick<MemberTable, "collectDifferent">;
}

/** Adds the method that serves member records to the process's server. */
export function addMemberPullServer(
  host: MemberPullHost,
  options: { readonly server: Server; readonly maxPullBytes: number },
): void {
  const { pullMembers } = ControlServiceService;
  options.server.addService({ pullMembers }, { pullMembers: handlePull });

  function handlePull(
    call: ServerUnaryCall<PullMembersRequest, PullMembersResponse>,
    callback: sendUnaryData<PullMembersResponse>,
  ): void {
    const { members, bytes } = host.table.collectDifferent(
      call.request.bucketHashes,
      {
        firstBucket: Math.floor(Math.random() * bucketCount),
        maxBytes: options.maxPullBytes,
      },
    );
    const isAllowed = host.budget.trySpend(bytes + callOverheadBytes, {
      purpose: "membership",
      class: "pull",
    });
    if (isAllowed) callback(null, { members: [...members] });
    else callback({ code: status.RESOURCE_EXHAUSTED });
  }
}

/** Pulls the records of the buckets that differ; undefined on failure. */
export function pullMembers(
  from: Member,
  options: {
    readonly bucketHashes: readonly number[];
    readonly budget: ControlBudget;
  },
): Promise<readonly Member[] | undefined> {
  const { bucketHashes, budget } = options;
  const size = bucketHashes.length * 4 + callOverheadBytes;
  const isAllowed = budget.trySpend(size, {
    purpose: "membership",
    class: "pull",
  });
  if (!isAllowed) return Promise.resolve(undefined);
  const client = new LimitedClient(
    `${from.address}:${from.grpcPort}`,
    credentials.createInsecure(),
  );
  const deadline = Date.now() + pullTimeoutMs;
  return new Promise((resolve) => {
    client.waitForReady(deadline, (error) => {
      if (error !== undefined) return finish(undefined);
      client.pullMembers(
        { bucketHashes: [...bucketHashes] },
        new Metadata(),
        { deadline },
        (failure, response) => finish(failure === null ? response : undefined),
      );
    });

    function finish(response: PullMembersResponse | undefined): void {
      client.close();
      if (response === undefined) return resolve(undefined);
      const bytes = PullMembersResponse.encode(response).finish().length;
      budget.recordTraffic(bytes + callOverheadBytes, "membership", "received");
      resolve(
        response.members.flatMap((record) => tryParseMember(record) ?? []),
      );
    }
  });
}

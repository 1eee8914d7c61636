/** Compares the own table with others' and repairs differences. */

import type { Datagram } from "../../generated/mimosatray/v1/control.ts";
import type { Member } from "../../types/member.ts";
import type { Endpoint } from "./control_sender.ts";
import type { MemberTable } from "./member_table.ts";

/** Quiet time of the own table after which a difference is looked into. */
const quietPeriodMs = 1_000;

/** Shortest time between two pulls. */
const minPullIntervalMs = 1_000;

/** Shortest time between two pulls when the last one brought news. */
const minPageIntervalMs = 200;

/** Shortest time between two corrections of the same member. */
const minCorrectionIntervalMs = 500;

/** Members whose corrections are remembered. */
const maxTrackedCorrections = 1_024;

/** What the repair needs from outside. */
export interface TableSyncHost {
  readonly table: MemberTable;
  /** Tells a member what is believed of it, so that it can refute. */
  correct(believed: Member, to: Endpoint): void;
  /** Asks a member for the records of buckets that differ. */
  pullMembers(
    from: Member,
    bucketHashes: readonly number[],
  ): Promise<readonly Member[] | undefined>;
  /** Takes records that were pulled; true when any was new. */
  mergeMembers(members: readonly Member[]): boolean;
}

/** Keeps the table in step with others'. */
export interface TableSync {
  /**
   * Compares what a datagram's fields say. Returns the sender's record when
   * it is believed to be well.
   */
  checkSender(datagram: Datagram, from: Endpoint): Member | undefined;
  /** True when the last member heard from held the same table. */
  isInSync(): boolean;
  /** Records that the own table changed just now. */
  recordChange(): void;
}

/** Creates the repair of one table. */
export function createTableSync(host: TableSyncHost): TableSync {
  const { table } = host;
  const correctedAt = new Map<string, number>();
  let changedAt = -Infinity;
  let pulledAt = -Infinity;
  let pullDelayMs = minPullIntervalMs;
  /** True while pages of a larger difference are being pulled. */
  let isCatchingUp = true;
  let inSync = false;

  return {
    checkSender,
    isInSync: () => inSync,
    recordChange: () => {
      changedAt = performance.now();
    },
  };

  function checkSender(
    datagram: Datagram,
    from: Endpoint,
  ): Member | undefined {
    const held = table.tryGet(datagram.sender);
    const isCurrent = held !== undefined &&
      held.incarnation === datagram.senderIncarnation;
    if (!isCurrent || held.state === "suspect" || held.state === "dead") {
      correct(held ?? createPlaceholder(datagram.sender, from), from);
      return undefined;
    }
    inSync = datagram.membersHash === table.getHash();
    if (inSync) isCatchingUp = false;
    else pullIfDue(held);
    return held;
  }

  function correct(believed: Member, to: Endpoint): void {
    const now = performance.now();
    const lastCorrectedAt = correctedAt.get(believed.id) ?? -Infinity;
    if (now - lastCorrectedAt < minCorrectionIntervalMs) return;
    if (correctedAt.size >= maxTrackedCorrections) correctedAt.clear();
    correctedAt.set(believed.id, now);
    host.correct(believed, to);
  }

  function pullIfDue(from: Member): void {
    const now = performance.now();
    if (now - pulledAt < pullDelayMs) return;
    if (!isCatchingUp && now - changedAt < quietPeriodMs) return;
    pulledAt = now;
    pullDelayMs = minPullIntervalMs;
    void host.pullMembers(from, table.getBucketHashes()).then((members) => {
      if (members === undefined) return;
      isCatchingUp = host.mergeMembers(members);
      if (isCatchingUp) pullDelayMs = minPageIntervalMs;
    });
  }
}

/** A record so old that any member answers it with its own. */
function createPlaceholder(id: string, from: Endpoint): Member {
  return {
    id,
    role: "router",
    address: from.address,
    grpcPort: 0,
    gossipPort: from.port,
    zone: "",
    region: "",
    vm: "",
    service: "",
    incarnation: 0,
    version: 0,
    state: "dead",
    weight: 0,
  };
}

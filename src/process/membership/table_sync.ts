/**
 * Keeps member tables in sync by anti-entropy: compares table hashes with each
 * sender and pulls the records that differ. It repairs what gossip loses.
 */

import type { Datagram } from "../../generated/mimosatray/v1/control.ts";
import type { Member } from "../../types/member.ts";
import type { Endpoint } from "./control_sender.ts";
import type { MemberTable } from "./member_table.ts";

/** Time without changes to the local table before a difference is pulled. */
const quietPeriodMs = 1_000;

/** Minimum interval between two pulls. */
const minPullIntervalMs = 1_000;

/** Minimum interval after a pull that changed the table. */
const minPageIntervalMs = 200;

/** Minimum interval between two corrections sent to the same member. */
const minCorrectionIntervalMs = 500;

/** Maximum number of members whose last correction is remembered. */
const maxTrackedCorrections = 1_024;

/** What the sync needs from its environment. */
export interface TableSyncHost {
  readonly table: MemberTable;
  /** Sends a member its record in the local table, so it can refute it. */
  correct(heldRecord: Member, to: Endpoint): void;
  /** Pulls the records of buckets whose hashes differ from a member. */
  pullMembers(
    from: Member,
    bucketHashes: readonly number[],
  ): Promise<readonly Member[] | undefined>;
  /** Merges pulled records; returns true when the table changed. */
  mergeMembers(members: readonly Member[]): boolean;
}

/** The anti-entropy of one member table. */
export interface TableSync {
  /**
   * Compares the sender and the table hash in a datagram with the local table.
   * Returns the sender's record when it is current and neither suspect nor
   * dead.
   */
  checkSender(datagram: Datagram, from: Endpoint): Member | undefined;
  /** Returns true when the last sender's table hash equals the local one. */
  isInSync(): boolean;
  /** Records that the local table has just changed. */
  recordChange(): void;
}

/** Creates the sync of one table. */
export function createTableSync(host: TableSyncHost): TableSync {
  const { table } = host;
  const correctedAt = new Map<string, number>();
  let changedAt = -Infinity;
  let pulledAt = -Infinity;
  let pullDelayMs = minPullIntervalMs;
  /**
   * True at first and while pulls still change the table; the next pull then
   * does not wait for the quiet period.
   */
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
    const known = table.tryGet(datagram.sender);
    const isCurrent = known !== undefined &&
      known.incarnation === datagram.senderIncarnation;
    if (!isCurrent || known.state === "suspect" || known.state === "dead") {
      correct(known ?? createPlaceholder(datagram.sender, from), from);
      return undefined;
    }
    inSync = datagram.membersHash === table.getHash();
    if (inSync) isCatchingUp = false;
    else pullIfDue(known);
    return known;
  }

  function correct(heldRecord: Member, to: Endpoint): void {
    const now = performance.now();
    const lastCorrectedAt = correctedAt.get(heldRecord.id) ?? -Infinity;
    if (now - lastCorrectedAt < minCorrectionIntervalMs) return;
    if (correctedAt.size >= maxTrackedCorrections) correctedAt.clear();
    correctedAt.set(heldRecord.id, now);
    host.correct(heldRecord, to);
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

/** Returns a record older than any other, which the member will refute. */
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

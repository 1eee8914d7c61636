/** Members of the fleet: routers and agents, as each process knows them. */

/** The role of a process in the fleet. */
export type MemberRole = "router" | "agent";

/**
 * The state of a member, in ascending order of precedence: at equal version, a
 * later state replaces an earlier one.
 */
export type MemberState = "live" | "suspect" | "leaving" | "dead";

/** One member record, ordered by incarnation, then version, then state. */
export interface Member {
  readonly id: string;
  readonly role: MemberRole;
  /** IP address. */
  readonly address: string;
  readonly grpcPort: number;
  readonly gossipPort: number;
  /** Availability zone. */
  readonly zone: string;
  readonly region: string;
  /** Id of the VM in the platform's list. */
  readonly vm: string;
  /** The service of an agent's target; empty for a router. */
  readonly service: string;
  /** Start time of the process, in milliseconds since the epoch. */
  readonly incarnation: number;
  /** Increases with each change that the member makes to its own record. */
  readonly version: number;
  readonly state: MemberState;
  /** Relative capacity of the target; 100 for a typical one. */
  readonly weight: number;
}

/** Returns true when the member is an agent that may receive new work. */
export function isAvailableAgent(member: Member): boolean {
  return member.role === "agent" && member.state === "live";
}

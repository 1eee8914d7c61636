/** Members of the fleet: routers and agents, as every process knows them. */

/** The part that a process plays. */
export type MemberRole = "router" | "agent";

/**
 * What is known of a member, from weakest to strongest at equal version:
 * a stronger state replaces a weaker one.
 */
export type MemberState = "live" | "suspect" | "leaving" | "dead";

/** One member record, ordered by incarnation, then version, then state. */
export interface Member {
  readonly id: string;
  readonly role: MemberRole;
  /** IP number. */
  readonly address: string;
  readonly grpcPort: number;
  readonly gossipPort: number;
  /** Availability zone. */
  readonly zone: string;
  readonly region: string;
  /** The VM as the platform's list names it. */
  readonly vm: string;
  /** The service of an agent's target; empty for a router. */
  readonly service: string;
  /** Start time of the process, in milliseconds since the epoch. */
  readonly incarnation: number;
  /** Grows with each change that the member makes to its own record. */
  readonly version: number;
  readonly state: MemberState;
  /** Relative capacity of the target; 100 for a usual one. */
  readonly weight: number;
}

/** True when the member is an agent that may receive new work. */
export function isAvailableAgent(member: Member): boolean {
  return member.role === "agent" && member.state === "live";
}

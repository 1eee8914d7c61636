/** Sends datagrams within the control budget, with the sender's state. */

import type { Datagram } from "../../generated/mimosatray/v1/control.ts";
import type { Member } from "../../types/member.ts";
import {
  type ControlBudget,
  type ControlClass,
  type ControlPurpose,
  datagramHeaderBytes,
} from "./control_budget.ts";
import { encodeDatagram } from "./datagram_codec.ts";

/** IP address and UDP port of a member. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** The message that a datagram carries. */
export type DatagramBody = NonNullable<Datagram["body"]>;

/** Destination of a datagram and how the budget counts it. */
export interface SendOptions {
  readonly to: Endpoint;
  readonly purpose: ControlPurpose;
  readonly class: ControlClass;
}

/** Sends one datagram; returns false when the budget drops it. */
export type DatagramSender = (
  body: DatagramBody,
  options: SendOptions,
) => boolean;

/** What the sender needs from its environment. */
export interface ControlSenderHost {
  send(bytes: Uint8Array, to: Endpoint): void;
  readonly budget: ControlBudget;
  getSelf(): Member;
  getMembersHash(): number;
  getConfigurationVersion(): number;
  getConfigurationChecksum(): number;
}

/** Creates the function that sends datagrams. */
export function createControlSender(host: ControlSenderHost): DatagramSender {
  return (body, { to, purpose, class: kind }) => {
    const self = host.getSelf();
    const bytes = encodeDatagram({
      sender: self.id,
      senderIncarnation: self.incarnation,
      configurationVersion: host.getConfigurationVersion(),
      configurationChecksum: host.getConfigurationChecksum(),
      membersHash: host.getMembersHash(),
      body,
    });
    const size = bytes.length + datagramHeaderBytes;
    if (!host.budget.trySpend(size, { purpose, class: kind })) return false;
    host.send(bytes, to);
    return true;
  };
}

/** Returns the endpoint at which a member receives datagrams. */
export function getEndpoint(member: Member): Endpoint {
  return { address: member.address, port: member.gossipPort };
}

/** Returns the purpose that a datagram is counted under. */
export function getPurpose(body: DatagramBody): ControlPurpose {
  switch (body.$case) {
    case "probe":
    case "probeReply":
      return body.value.load === undefined ? "membership" : "loads";
    case "rumor":
      if (body.value.members.length > 0) return "membership";
      return body.value.crashes.length > 0 ? "crashes" : "configuration";
    case "limitRequest":
    case "limitGrant":
      return "limits";
  }
}

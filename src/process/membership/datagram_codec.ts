/** Turns datagrams and member records into their wire form and back. */

import {
  Datagram,
  MemberRecord,
} from "../../generated/mimosatray/v1/control.ts";
import type { Member } from "../../types/member.ts";
import { isMemberState } from "./member_order.ts";

/** Largest datagram, so that no path breaks it into fragments. */
export const maxDatagramBytes = 1_200;

/** Longest text of any field of a record. */
const maxTextLength = 255;

/** Encodes a datagram. */
export function encodeDatagram(datagram: Datagram): Uint8Array {
  return Datagram.encode(datagram).finish();
}

/** Decodes a datagram; `undefined` for what is not one. */
export function tryDecodeDatagram(bytes: Uint8Array): Datagram | undefined {
  if (bytes.length === 0 || bytes.length > maxDatagramBytes) return undefined;
  try {
    const datagram = Datagram.decode(bytes);
    const { sender, body } = datagram;
    if (sender === "" || sender.length > maxTextLength) return undefined;
    return body === undefined ? undefined : datagram;
  } catch {
    return undefined;
  }
}

/** Returns the bytes a record takes inside a datagram. */
export function getMemberBytes(member: Member): number {
  return MemberRecord.encode({ ...member }).finish().length + 3;
}

/** Reads a record off the wire; `undefined` for one that makes no sense. */
export function tryParseMember(record: MemberRecord): Member | undefined {
  const { role, state, id, address } = record;
  if (role !== "router" && role !== "agent") return undefined;
  if (!isMemberState(state)) return undefined;
  if (id === "" || address === "") return undefined;
  const texts = [id, address, record.zone, record.service, record.vm];
  if (texts.some((text) => text.length > maxTextLength)) return undefined;
  if (record.gossipPort > 65_535 || record.grpcPort > 65_535) return undefined;
  return { ...record, role, state };
}

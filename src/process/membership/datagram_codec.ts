/** Encodes and decodes datagrams and member records. */

import {
  Datagram,
  MemberRecord,
} from "../../generated/mimosatray/v1/control.ts";
import type { Member } from "../../types/member.ts";
import { encodeTolerantly } from "../telemetry/tolerant_encoding.ts";
import { isMemberState } from "./member_order.ts";

/** Maximum size of a datagram, so that no network path fragments it. */
export const maxDatagramBytes = 1_200;

/** Maximum length of a text field in a record. */
const maxTextLength = 255;

/** Encodes a datagram; one whose body cannot be encoded has none. */
export function encodeDatagram(datagram: Datagram): Uint8Array {
  return encodeTolerantly(Datagram, datagram).bytes;
}

/** Decodes a datagram; returns `undefined` when it is malformed. */
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

/** Returns the encoded size of a record inside a datagram. */
export function getMemberBytes(member: Member): number {
  return MemberRecord.encode({ ...member }).finish().length + 3;
}

/** Validates a decoded record; returns `undefined` when it is invalid. */
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

/** Snapshots: a whole configuration as compressed pieces under a size limit. */

import { assertInvariant } from "../types/assert.ts";
import type { Service, Workspace } from "../types/configuration.ts";
import {
  type ConfigurationState,
  hashEntries,
  type PatchRecord,
} from "./configuration_state.ts";
import type { Codec } from "./codec.ts";
import { createShardedMap } from "./sharded_map.ts";

/** A snapshot as it is kept or sent. */
export interface Snapshot {
  readonly version: number;
  /** Hash of the compressed text, 8 hexadecimal digits. */
  readonly checksum: string;
  /** Pieces of the compressed configuration, in base64. */
  readonly parts: readonly string[];
}

/**
 * Longest piece, in characters; the platform takes values up to 1 MB. Four
 * characters of base64 hold whole bytes, so pieces are cut at multiples of 4.
 */
export const maxPartLength = 700_000;

interface SnapshotContent {
  readonly version: number;
  readonly services: readonly (readonly [string, Service])[];
  readonly workspaces: readonly (readonly [string, Workspace])[];
  readonly records: readonly PatchRecord[];
}

/** Encodes a state; equal states give equal snapshots. */
export async function encodeSnapshot(
  state: ConfigurationState,
  options: { readonly codec: Codec; readonly partLength?: number },
): Promise<Snapshot> {
  const { version, services, workspaces } = state.configuration;
  const content: SnapshotContent = {
    version,
    services: sortByName(services),
    workspaces: sortByName(workspaces),
    records: state.records,
  };
  const { codec, partLength = maxPartLength } = options;
  assertInvariant(partLength % 4 === 0, "pieces hold whole bytes");
  const compressed = await codec.compress(JSON.stringify(content));
  const text = compressed.toString("base64");
  return {
    version,
    checksum: formatChecksum(codec.hash(text)),
    parts: splitText(text, partLength),
  };
}

/** Decodes a snapshot; undefined when it is damaged or incomplete. */
export async function decodeSnapshot(
  snapshot: Snapshot,
  options: { readonly codec: Codec },
): Promise<ConfigurationState | undefined> {
  const { codec } = options;
  const text = snapshot.parts.join("");
  if (formatChecksum(codec.hash(text)) !== snapshot.checksum) {
    return undefined;
  }
  const data = await codec.decompress(Buffer.from(text, "base64"));
  const content = JSON.parse(data) as SnapshotContent;
  if (content.version !== snapshot.version) return undefined;
  const configuration = {
    version: content.version,
    services: createShardedMap(content.services),
    workspaces: createShardedMap(content.workspaces),
  };
  return {
    configuration,
    entriesHash: hashEntries(configuration, codec.hash),
    records: content.records,
  };
}

function sortByName<V>(map: ReadonlyMap<string, V>): [string, V][] {
  return [...map].sort(([left], [right]) => (left < right ? -1 : 1));
}

function splitText(text: string, length: number): string[] {
  const parts: string[] = [];
  for (let start = 0; start < text.length; start += length) {
    parts.push(text.slice(start, start + length));
  }
  return parts;
}

function formatChecksum(hash: number): string {
  return hash.toString(16).padStart(8, "0");
}

/**
 * Encodes a whole configuration as compressed parts under a size limit. The
 * text has one JSON object per line, so that a large configuration is encoded
 * and decoded in slices, between which the process can do other work.
 */

import { assertInvariant } from "../types/assert.ts";
import type { Service, Workspace } from "../types/configuration.ts";
import type { Codec } from "./codec.ts";
import {
  type ConfigurationState,
  hashEntries,
  type PatchRecord,
} from "./configuration_state.ts";
import { createShardedMap } from "./sharded_map.ts";

/** A snapshot as it is stored or sent. */
export interface Snapshot {
  readonly version: number;
  /** Hash of the compressed text, 8 hexadecimal digits. */
  readonly checksum: string;
  /** Parts of the compressed configuration, in base64. */
  readonly parts: readonly string[];
}

/**
 * Maximum length of a part in characters; the platform accepts values up to
 * 1 MB. A multiple of 4, because 4 base64 characters encode whole bytes.
 */
export const maxPartLength = 700_000;

/** Maximum number of entries in one line of the text. */
const entriesPerLine = 500;

/** One line of the text, with exactly one of the fields. */
interface SnapshotLine {
  readonly version?: number;
  readonly services?: readonly (readonly [string, Service])[];
  readonly workspaces?: readonly (readonly [string, Workspace])[];
  readonly records?: readonly PatchRecord[];
}

/** Encodes a state; equal states have equal snapshots. */
export async function encodeSnapshot(
  state: ConfigurationState,
  options: { readonly codec: Codec; readonly partLength?: number },
): Promise<Snapshot> {
  const { version, services, workspaces } = state.configuration;
  const { codec, partLength = maxPartLength } = options;
  assertInvariant(partLength % 4 === 0, "partLength must be a multiple of 4");
  const lineTexts = [JSON.stringify({ version } satisfies SnapshotLine)];
  await addLines("services", sortByName(services));
  await addLines("workspaces", sortByName(workspaces));
  await addLines("records", state.records);
  const compressed = await codec.compress(lineTexts.join("\n"));
  const text = compressed.toString("base64");
  return {
    version,
    checksum: formatChecksum(codec.hash(text)),
    parts: splitText(text, partLength),
  };

  async function addLines(
    field: keyof SnapshotLine,
    values: readonly unknown[],
  ): Promise<void> {
    for (let start = 0; start < values.length; start += entriesPerLine) {
      const slice = values.slice(start, start + entriesPerLine);
      lineTexts.push(JSON.stringify({ [field]: slice }));
      await codec.yieldToEventLoop();
    }
  }
}

/** Decodes a snapshot; undefined when it is corrupted or incomplete. */
export async function decodeSnapshot(
  snapshot: Snapshot,
  options: { readonly codec: Codec },
): Promise<ConfigurationState | undefined> {
  const { codec } = options;
  const text = snapshot.parts.join("");
  if (formatChecksum(codec.hash(text)) !== snapshot.checksum) {
    return undefined;
  }
  const decompressed = await codec.decompress(Buffer.from(text, "base64"));
  const services: (readonly [string, Service])[] = [];
  const workspaces: (readonly [string, Workspace])[] = [];
  const records: PatchRecord[] = [];
  let version = 0;
  let entriesHash = 0;
  for (const line of decompressed.split("\n")) {
    decodeLine(JSON.parse(line) as SnapshotLine);
    await codec.yieldToEventLoop();
  }
  if (version !== snapshot.version) return undefined;
  return {
    configuration: {
      version,
      services: createShardedMap(services),
      workspaces: createShardedMap(workspaces),
    },
    entriesHash,
    records,
  };

  function decodeLine(line: SnapshotLine): void {
    version = line.version ?? version;
    services.push(...line.services ?? []);
    workspaces.push(...line.workspaces ?? []);
    records.push(...line.records ?? []);
    addHash(hashEntries("service", line.services ?? [], codec.hash));
    addHash(hashEntries("workspace", line.workspaces ?? [], codec.hash));
  }

  function addHash(hash: number): void {
    entriesHash = (entriesHash + hash) >>> 0;
  }
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

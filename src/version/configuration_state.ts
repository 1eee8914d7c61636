/** The configuration at one version with what is needed to take the next. */

import { assertInvariant, assertNever } from "../types/assert.ts";
import type {
  Configuration,
  Patch,
  PatchDraft,
  PatchOperation,
  Service,
  Workspace,
} from "../types/configuration.ts";
import type { Hash } from "./codec.ts";
import { getEntryName } from "./patch_text.ts";
import { createShardedMap, type ShardedMap } from "./sharded_map.ts";

/** What is remembered of a patch after it came into force. */
export interface PatchRecord {
  readonly version: number;
  readonly id: string;
  readonly operator: string;
  readonly acceptedAt: number;
  /** Entries that it changed, such as `service chat`. */
  readonly entries: readonly string[];
  /** Hash of its content, to tell a resend from another patch. */
  readonly fingerprint: number;
}

/** A configuration with its checksum and its recent history. */
export interface ConfigurationState {
  readonly configuration: StoredConfiguration;
  /** Sum of the hashes of all entries, 32 bits, free of order. */
  readonly entriesHash: number;
  /** The last patches, the oldest first. */
  readonly records: readonly PatchRecord[];
}

/** A configuration whose maps can be changed by copying one shard. */
export interface StoredConfiguration extends Configuration {
  readonly services: ShardedMap<Service>;
  readonly workspaces: ShardedMap<Workspace>;
}

/** Patches that are remembered, a little over a day of them. */
const maxRecords = 4_000;

/** Returns the configuration before the first patch. */
export function createEmptyState(): ConfigurationState {
  return {
    configuration: {
      version: 0,
      services: createShardedMap<Service>(),
      workspaces: createShardedMap<Workspace>(),
    },
    entriesHash: 0,
    records: [],
  };
}

/** Returns the state after the patch; the given one stays as it is. */
export function applyPatch(
  state: ConfigurationState,
  patch: Patch,
  options: { readonly hash: Hash },
): ConfigurationState {
  const { version } = state.configuration;
  assertInvariant(
    patch.version === version + 1,
    `patch ${patch.version} follows version ${version}`,
  );
  let { services, workspaces } = state.configuration;
  let entriesHash = state.entriesHash;
  for (const operation of patch.operations) applyOperation(operation);
  const record = createRecord(patch, options.hash);
  return {
    configuration: { version: patch.version, services, workspaces },
    entriesHash,
    records: [...state.records.slice(1 - maxRecords), record],
  };

  function applyOperation(operation: PatchOperation): void {
    const { name } = operation;
    switch (operation.kind) {
      case "put_service":
        updateEntriesHash(operation, services.get(name), operation.value);
        services = services.with(name, operation.value);
        return;
      case "delete_service":
        updateEntriesHash(operation, services.get(name), undefined);
        services = services.without(name);
        return;
      case "put_workspace":
        updateEntriesHash(operation, workspaces.get(name), operation.value);
        workspaces = workspaces.with(name, operation.value);
        return;
      case "delete_workspace":
        updateEntriesHash(operation, workspaces.get(name), undefined);
        workspaces = workspaces.without(name);
        return;
      default:
        assertNever(operation);
    }
  }

  function updateEntriesHash(
    operation: PatchOperation,
    before: Service | Workspace | undefined,
    after: Service | Workspace | undefined,
  ): void {
    const entry = getEntryName(operation);
    const removedHash = hashEntry(entry, before, options.hash);
    const addedHash = hashEntry(entry, after, options.hash);
    entriesHash = (entriesHash - removedHash + addedHash) >>> 0;
  }
}

/** Returns the checksum of a state: its entries and its version. */
export function getChecksum(state: ConfigurationState): number {
  const { version } = state.configuration;
  return (state.entriesHash ^ Math.imul(version, 0x9e3779b1)) >>> 0;
}

/** Returns the hash of entries of one group, to be summed over all. */
export function hashEntries(
  group: "service" | "workspace",
  entries: Iterable<readonly [string, Service | Workspace]>,
  hash: Hash,
): number {
  let sum = 0;
  for (const [name, value] of entries) {
    sum = (sum + hashEntry(`${group} ${name}`, value, hash)) >>> 0;
  }
  return sum;
}

/** Returns the hash of what an operator asked for, without its base. */
export function hashDraft(draft: PatchDraft, hash: Hash): number {
  return hash(JSON.stringify([draft.operator, draft.operations]));
}

/** Finds the record of a patch by the operator's id. */
export function tryFindRecord(
  state: ConfigurationState,
  id: string,
): PatchRecord | undefined {
  return state.records.find((record) => record.id === id);
}

function createRecord(patch: Patch, hash: Hash): PatchRecord {
  return {
    version: patch.version,
    id: patch.id,
    operator: patch.operator,
    acceptedAt: patch.acceptedAt,
    entries: patch.operations.map(getEntryName),
    fingerprint: hashDraft(patch, hash),
  };
}

function hashEntry(
  entry: string,
  value: Service | Workspace | undefined,
  hash: Hash,
): number {
  return value === undefined ? 0 : hash(`${entry} ${JSON.stringify(value)}`);
}

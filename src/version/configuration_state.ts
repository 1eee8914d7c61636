/** Holds the configuration at one version and applies the next patch to it. */

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

/** Record of an applied patch. */
export interface PatchRecord {
  readonly version: number;
  readonly id: string;
  readonly operator: string;
  readonly acceptedAt: number;
  /** Names of the changed entries, such as `service chat`. */
  readonly entries: readonly string[];
  /** Hash of the content, to tell a resubmission from another patch. */
  readonly fingerprint: number;
}

/** A configuration with the hash of its entries and its recent history. */
export interface ConfigurationState {
  readonly configuration: StoredConfiguration;
  /** Sum of the hashes of all entries in 32 bits; their order is irrelevant. */
  readonly entriesHash: number;
  /** Records of the last patches, oldest first. */
  readonly records: readonly PatchRecord[];
}

/** A configuration whose maps copy only one shard per change. */
export interface StoredConfiguration extends Configuration {
  readonly services: ShardedMap<Service>;
  readonly workspaces: ShardedMap<Workspace>;
}

/** Maximum number of records, slightly more than a day of patches. */
const maxRecords = 4_000;

/** Returns the state at version 0, before the first patch. */
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

/** Returns the state after the patch; does not change the given state. */
export function applyPatch(
  state: ConfigurationState,
  patch: Patch,
  options: { readonly hash: Hash },
): ConfigurationState {
  const { version } = state.configuration;
  assertInvariant(
    patch.version === version + 1,
    `patch ${patch.version} must be the next after version ${version}`,
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

/** Returns the checksum of a state's entries and version. */
export function getChecksum(state: ConfigurationState): number {
  const { version } = state.configuration;
  return (state.entriesHash ^ Math.imul(version, 0x9e3779b1)) >>> 0;
}

/** Returns the sum of the hashes of entries of one group, in 32 bits. */
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

/** Returns the hash of a draft's operator and operations, without its base. */
export function hashDraft(draft: PatchDraft, hash: Hash): number {
  return hash(JSON.stringify([draft.operator, draft.operations]));
}

/** Returns the record of a patch by the id that its operator chose. */
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

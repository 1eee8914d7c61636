/** What operators ask of the configuration: submit, look up, list, compare. */

import { type Either, EitherAsync, Left, Right } from "purify-ts";
import type { Patch } from "../types/configuration.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { Hash } from "./codec.ts";
import {
  type ConfigurationState,
  type PatchRecord,
  tryFindRecord,
} from "./configuration_state.ts";
import { checkDraft } from "./patch_check.ts";
import { type Acceptance, commitPatch } from "./patch_commit.ts";
import { getPatchKey, tryParsePatch } from "./patch_text.ts";

/** What the calls need of the store. */
export interface OperatorCallsHost {
  readonly platform: Platform;
  readonly hash: Hash;
  /** Time within which the compaction cannot have passed a commit. */
  readonly safeCommitWindowMs: number;
  getState(): ConfigurationState;
  refresh(): Promise<PlatformError | undefined>;
  /** Puts a committed patch into force and passes it on. */
  apply(patch: Patch): void;
}

/** A patch on record, with its operations while the log still has them. */
export interface FoundPatch {
  readonly record: PatchRecord;
  readonly patch: Patch | undefined;
}

/** The calls of operators. */
export interface OperatorCalls {
  /** Checks and commits a patch; every fault is reported at once. */
  submit(value: unknown): EitherAsync<readonly Report[], Acceptance>;
  /** Tells what became of a patch, by the operator's id. */
  findPatch(id: string): EitherAsync<readonly Report[], FoundPatch>;
  /** The last patches, the newest first. */
  getHistory(limit: number): readonly PatchRecord[];
}

/** Creates the calls of one store. */
export function createOperatorCalls(host: OperatorCallsHost): OperatorCalls {
  const { platform, hash, safeCommitWindowMs, getState } = host;
  const commitHost = {
    platform,
    hash,
    safeCommitWindowMs,
    getState,
    refresh,
  };

  return { submit, findPatch, getHistory };

  function submit(
    value: unknown,
  ): EitherAsync<readonly Report[], Acceptance> {
    return EitherAsync.liftEither(checkDraft(value))
      .chain((draft) => commitPatch(commitHost, draft))
      .ifRight((acceptance) => {
        if (acceptance.patch !== undefined) host.apply(acceptance.patch);
      });
  }

  function refresh(): EitherAsync<PlatformError, void> {
    return EitherAsync.fromPromise(async () => {
      const error = await host.refresh();
      return error === undefined ? Right(undefined) : Left(error);
    });
  }

  function findPatch(id: string): EitherAsync<readonly Report[], FoundPatch> {
    return EitherAsync.fromPromise(() => lookUpPatch(id));
  }

  async function lookUpPatch(
    id: string,
  ): Promise<Either<readonly Report[], FoundPatch>> {
    const error = await host.refresh();
    const record = tryFindRecord(getState(), id);
    if (record === undefined) {
      // Without the platform nobody can tell that it was never accepted.
      const code = error === undefined
        ? "patch_unknown"
        : "patch_outcome_unknown";
      return Left([createReport(code, { id })]);
    }
    const read = await platform.get(getPatchKey(record.version)).run();
    const text = read.toMaybe().extract()?.value;
    const patch = text === undefined ? undefined : tryParsePatch(text);
    return Right({ record, patch: patch?.id === id ? patch : undefined });
  }

  function getHistory(limit: number): readonly PatchRecord[] {
    return limit <= 0 ? [] : getState().records.slice(-limit).reverse();
  }
}

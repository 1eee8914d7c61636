/** Handles calls of operators: submits, looks up and lists patches. */

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

/** Dependencies of the operator calls. */
export interface OperatorCallsHost {
  readonly platform: Platform;
  readonly hash: Hash;
  /**
   * How long after its first read a commit can rely on compaction not having
   * passed its version, in milliseconds.
   */
  readonly safeCommitWindowMs: number;
  getState(): ConfigurationState;
  refresh(): Promise<PlatformError | undefined>;
  /** Applies a committed patch and propagates it. */
  apply(patch: Patch): void;
}

/** Record of a patch, with the patch itself while the log still holds it. */
export interface FoundPatch {
  readonly record: PatchRecord;
  readonly patch: Patch | undefined;
}

/** Calls that operators make on one store. */
export interface OperatorCalls {
  /** Checks and commits a patch; reports all invalid fields at once. */
  submit(value: unknown): EitherAsync<readonly Report[], Acceptance>;
  /** Looks up an accepted patch by the id that its operator chose. */
  findPatch(id: string): EitherAsync<readonly Report[], FoundPatch>;
  /** Returns the records of the last patches, newest first. */
  getHistory(limit: number): readonly PatchRecord[];
}

/** Creates the operator calls of one store. */
export function createOperatorCalls(host: OperatorCallsHost): OperatorCalls {
  const { platform, hash, safeCommitWindowMs, getState } = host;
  const commitHost = { platform, hash, safeCommitWindowMs, getState, refresh };

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
      // If the platform is unavailable, the patch may have been accepted.
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

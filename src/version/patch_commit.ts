/**
 * Commits a patch: creating the key of the next version, if it is absent, is
 * the commit. A lost answer is settled by reading the key back.
 */

import { type Either, EitherAsync, Left, Right } from "purify-ts";
import type { Patch, PatchDraft } from "../types/configuration.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { Hash } from "./codec.ts";
import {
  type ConfigurationState,
  hashDraft,
  tryFindRecord,
} from "./configuration_state.ts";
import { checkAgainstState } from "./patch_conflict.ts";
import {
  formatPatch,
  getPatchKey,
  normalizePatch,
  tryParsePatch,
} from "./patch_text.ts";
import { readHead } from "./platform_reader.ts";

/** What the commit needs of the store. */
export interface CommitHost {
  readonly platform: Platform;
  readonly hash: Hash;
  /** Time within which the compaction cannot have passed a commit. */
  readonly safeCommitWindowMs: number;
  getState(): ConfigurationState;
  /** Brings the state to the newest version that the platform keeps. */
  refresh(): EitherAsync<PlatformError, void>;
}

/** What became of an accepted patch. */
export interface Acceptance {
  readonly version: number;
  /** True when the same patch had been accepted before. */
  readonly wasKnown: boolean;
  /** The patch, unless it was known before. */
  readonly patch: Patch | undefined;
}

/** Tries against other operators before giving up. */
const maxAttempts = 12;

/** Reads that try to settle a lost answer. */
const maxReadBackAttempts = 6;

/** Wait before the first repeated read, in milliseconds. */
const readBackDelayMs = 100;

type AttemptResult =
  | { readonly kind: "accepted"; readonly patch: Patch }
  | { readonly kind: "again" }
  | { readonly kind: "refused"; readonly report: Report };

/** Commits a draft whose shape was checked. */
export function commitPatch(
  host: CommitHost,
  draft: PatchDraft,
): EitherAsync<readonly Report[], Acceptance> {
  const { platform, hash } = host;
  // Set once a write may still be under way after its answer was lost.
  let mayBePending = false;
  return EitherAsync.fromPromise(run);

  async function run(): Promise<Either<readonly Report[], Acceptance>> {
    for (let attemptIndex = 0; attemptIndex < maxAttempts; attemptIndex++) {
      const readStartedAt = performance.now();
      const refreshed = await host.refresh().run();
      if (refreshed.isLeft()) {
        return Left([createUnavailableReport()]);
      }
      const state = host.getState();
      const known = tryFindRecord(state, draft.id);
      if (known !== undefined) return checkResubmission(known);
      const reports = checkAgainstState(draft, state);
      if (reports.length > 0) return Left(reports);
      const attemptResult = await attemptCommit(state, readStartedAt);
      if (attemptResult.kind === "accepted") {
        const { patch } = attemptResult;
        return Right({ version: patch.version, wasKnown: false, patch });
      }
      if (attemptResult.kind === "refused") return Left([attemptResult.report]);
      await sleep(Math.random() * readBackDelayMs);
    }
    return Left([createReport("patch_contended", { tries: maxAttempts })]);
  }

  function checkResubmission(
    known: { readonly version: number; readonly fingerprint: number },
  ): Either<readonly Report[], Acceptance> {
    const { version } = known;
    if (known.fingerprint !== hashDraft(draft, hash)) {
      const values = { id: draft.id, version };
      return Left([createReport("patch_id_reused", values)]);
    }
    return Right({ version, wasKnown: true, patch: undefined });
  }

  async function attemptCommit(
    state: ConfigurationState,
    readStartedAt: number,
  ): Promise<AttemptResult> {
    const version = state.configuration.version + 1;
    const acceptedAt = Date.now();
    const patch = normalizePatch({ ...draft, version, acceptedAt });
    const key = getPatchKey(version);
    const text = formatPatch(patch);
    const putResult = await platform
      .put(key, text, { expectedRevision: 0 })
      .run();
    return putResult.caseOf<Promise<AttemptResult>>({
      Right: (revision) => verify(patch, { revision, readStartedAt }),
      Left: async (error) => {
        switch (error.kind) {
          case "conflict":
            return { kind: "again" };
          case "unavailable":
          case "over_budget":
            return { kind: "refused", report: createUnavailableReport() };
          case "unknown":
            return await readBack(patch, readStartedAt);
        }
      },
    });
  }

  /** Finds out whether a write whose answer was lost took effect. */
  async function readBack(
    patch: Patch,
    readStartedAt: number,
  ): Promise<AttemptResult> {
    const key = getPatchKey(patch.version);
    for (
      let attemptIndex = 0;
      attemptIndex < maxReadBackAttempts;
      attemptIndex++
    ) {
      const readResult = await platform.get(key).run();
      const storedEntry = readResult.toMaybe().extractNullable();
      if (readResult.isRight()) {
        // A write that is still under way is harmless: the next try takes the
        // same key, and only one of the two can create it.
        const storedPatch = tryParsePatch(storedEntry?.value ?? "");
        const isOwn = storedPatch?.id === patch.id &&
          formatPatch(storedPatch) === formatPatch(patch);
        if (!isOwn || storedEntry === null || storedEntry === undefined) {
          mayBePending ||= storedPatch === undefined;
          return { kind: "again" };
        }
        return await verify(patch, {
          revision: storedEntry.revision,
          readStartedAt,
        });
      }
      await sleep(readBackDelayMs * 2 ** attemptIndex * (0.5 + Math.random()));
    }
    return { kind: "refused", report: createUnknownReport() };
  }

  /**
   * Makes sure that the key was not one that the compaction had removed. Only
   * a writer that was paused for long needs to ask.
   */
  async function verify(
    patch: Patch,
    written: { readonly revision: number; readonly readStartedAt: number },
  ): Promise<AttemptResult> {
    if (performance.now() - written.readStartedAt < host.safeCommitWindowMs) {
      return { kind: "accepted", patch };
    }
    const head = await readHead(platform).run();
    if (head.isLeft()) {
      return { kind: "refused", report: createUnknownReport() };
    }
    const isCovered = head.map((found) => found.version >= patch.version);
    if (!isCovered.orDefault(true)) return { kind: "accepted", patch };
    await platform.remove(getPatchKey(patch.version), written.revision).run();
    return { kind: "again" };
  }

  function createUnavailableReport(): Report {
    return mayBePending ? createUnknownReport() : createReport(
      "platform_unavailable",
    );
  }

  function createUnknownReport(): Report {
    return createReport("patch_outcome_unknown", { id: draft.id });
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

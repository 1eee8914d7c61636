/**
 * Commits a patch by creating the key of the next version, which must not
 * exist. When the response is lost, reads the key back to learn the outcome.
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

/** Dependencies of a commit. */
export interface CommitHost {
  readonly platform: Platform;
  readonly hash: Hash;
  /**
   * How long after its first read a commit can rely on compaction not having
   * passed its version, in milliseconds.
   */
  readonly safeCommitWindowMs: number;
  getState(): ConfigurationState;
  /** Updates the state to the newest version on the platform. */
  refresh(): EitherAsync<PlatformError, void>;
}

/** Result of a submission that was accepted. */
export interface Acceptance {
  readonly version: number;
  /** True when the same patch was accepted earlier. */
  readonly wasKnown: boolean;
  /** The committed patch; undefined when it was accepted earlier. */
  readonly patch: Patch | undefined;
}

/** Maximum number of attempts when other operators commit first. */
const maxAttempts = 12;

/** Maximum number of reads to learn the outcome after a lost response. */
const maxReadBacks = 6;

/**
 * Base delay between reads after a lost response, and maximum delay between
 * attempts to commit, in milliseconds.
 */
const retryDelayMs = 100;

type AttemptResult =
  | { readonly kind: "accepted"; readonly patch: Patch }
  | { readonly kind: "retry" }
  | { readonly kind: "refused"; readonly report: Report };

/** Commits a draft that `checkDraft` returned. */
export function commitPatch(
  host: CommitHost,
  draft: PatchDraft,
): EitherAsync<readonly Report[], Acceptance> {
  const { platform, hash } = host;
  // Set when a write whose response was lost may still take effect.
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
      await sleep(Math.random() * retryDelayMs);
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
            return { kind: "retry" };
          case "unavailable":
          case "over_budget":
            return { kind: "refused", report: createUnavailableReport() };
          case "unknown":
            return await readBack(patch, readStartedAt);
        }
      },
    });
  }

  /** Determines whether a write whose response was lost took effect. */
  async function readBack(
    patch: Patch,
    readStartedAt: number,
  ): Promise<AttemptResult> {
    const key = getPatchKey(patch.version);
    for (let attemptIndex = 0; attemptIndex < maxReadBacks; attemptIndex++) {
      const readResult = await platform.get(key).run();
      const storedEntry = readResult.toMaybe().extractNullable();
      if (readResult.isRight()) {
        // A write that is still pending is harmless: the next attempt uses
        // the same key, and only one of the two can create it.
        const storedPatch = tryParsePatch(storedEntry?.value ?? "");
        const isOwn = storedPatch?.id === patch.id &&
          formatPatch(storedPatch) === formatPatch(patch);
        if (!isOwn || storedEntry === null || storedEntry === undefined) {
          mayBePending ||= storedPatch === undefined;
          return { kind: "retry" };
        }
        return await verify(patch, {
          revision: storedEntry.revision,
          readStartedAt,
        });
      }
      await sleep(retryDelayMs * 2 ** attemptIndex * (0.5 + Math.random()));
    }
    return { kind: "refused", report: createUnknownReport() };
  }

  /**
   * Verifies that the write did not create a key again that compaction had
   * removed. Only a writer that was paused for long has to read the head.
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
    return { kind: "retry" };
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

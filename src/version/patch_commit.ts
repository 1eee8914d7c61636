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
import { checkFollows } from "./patch_conflict.ts";
import {
  formatPatch,
  getPatchKey,
  orderPatch,
  tryParsePatch,
} from "./patch_text.ts";
import { readHead } from "./platform_reader.ts";

/** What the commit needs of the store. */
export interface CommitHost {
  readonly platform: Platform;
  readonly hash: Hash;
  /** Time within which the compaction cannot have passed a commit. */
  readonly sureCommitMs: number;
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
const maxTries = 12;

/** Reads that try to settle a lost answer. */
const maxReadBacks = 6;

/** Wait before the first repeated read, in milliseconds. */
const readBackMs = 100;

type Step =
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
    for (let tries = 0; tries < maxTries; tries++) {
      const readAt = performance.now();
      const refreshed = await host.refresh().run();
      if (refreshed.isLeft()) {
        return Left([createUnavailable()]);
      }
      const state = host.getState();
      const known = tryFindRecord(state, draft.id);
      if (known !== undefined) return checkKnown(known);
      const reports = checkFollows(draft, state);
      if (reports.length > 0) return Left(reports);
      const step = await tryCommit(state, readAt);
      if (step.kind === "accepted") {
        const { patch } = step;
        return Right({ version: patch.version, wasKnown: false, patch });
      }
      if (step.kind === "refused") return Left([step.report]);
      await sleep(Math.random() * readBackMs);
    }
    return Left([createReport("patch_contended", { tries: maxTries })]);
  }

  function checkKnown(
    known: { readonly version: number; readonly fingerprint: number },
  ): Either<readonly Report[], Acceptance> {
    const { version } = known;
    if (known.fingerprint !== hashDraft(draft, hash)) {
      const values = { id: draft.id, version };
      return Left([createReport("patch_id_reused", values)]);
    }
    return Right({ version, wasKnown: true, patch: undefined });
  }

  async function tryCommit(
    state: ConfigurationState,
    readAt: number,
  ): Promise<Step> {
    const version = state.configuration.version + 1;
    const acceptedAt = Date.now();
    const patch = orderPatch({ ...draft, version, acceptedAt });
    const key = getPatchKey(version);
    const text = formatPatch(patch);
    const written = await platform
      .put(key, text, { expectedRevision: 0 })
      .run();
    return written.caseOf<Promise<Step>>({
      Right: (revision) => verify(patch, { revision, readAt }),
      Left: async (error) => {
        switch (error.kind) {
          case "conflict":
            return { kind: "again" };
          case "unavailable":
          case "over_budget":
            return { kind: "refused", report: createUnavailable() };
          case "unknown":
            return await readBack(patch, readAt);
        }
      },
    });
  }

  /** Finds out whether a write whose answer was lost took effect. */
  async function readBack(patch: Patch, readAt: number): Promise<Step> {
    const key = getPatchKey(patch.version);
    for (let reads = 0; reads < maxReadBacks; reads++) {
      const read = await platform.get(key).run();
      const found = read.toMaybe().extractNullable();
      if (read.isRight()) {
        // A write that is still under way is harmless: the next try takes the
        // same key, and only one of the two can create it.
        const held = tryParsePatch(found?.value ?? "");
        const isOwn = held?.id === patch.id &&
          formatPatch(held) === formatPatch(patch);
        if (!isOwn || found === null || found === undefined) {
          mayBePending ||= held === undefined;
          return { kind: "again" };
        }
        return await verify(patch, { revision: found.revision, readAt });
      }
      await sleep(readBackMs * 2 ** reads * (0.5 + Math.random()));
    }
    return { kind: "refused", report: createUnknown() };
  }

  /**
   * Makes sure that the key was not one that the compaction had removed. Only
   * a writer that was paused for long needs to ask.
   */
  async function verify(
    patch: Patch,
    written: { readonly revision: number; readonly readAt: number },
  ): Promise<Step> {
    if (performance.now() - written.readAt < host.sureCommitMs) {
      return { kind: "accepted", patch };
    }
    const head = await readHead(platform).run();
    if (head.isLeft()) {
      return { kind: "refused", report: createUnknown() };
    }
    const passed = head.map((found) => found.version >= patch.version);
    if (!passed.orDefault(true)) return { kind: "accepted", patch };
    await platform.remove(getPatchKey(patch.version), written.revision).run();
    return { kind: "again" };
  }

  function createUnavailable(): Report {
    return mayBePending ? createUnknown() : createReport(
      "platform_unavailable",
    );
  }

  function createUnknown(): Report {
    return createReport("patch_outcome_unknown", { id: draft.id });
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

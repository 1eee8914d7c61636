/** One request, as far as it may be quarantined. */

import type { AbortedAttempts } from "../process/direct/crashes/aborted_attempts.ts";
import type {
  Quarantine,
  QuarantineRefusal,
} from "../process/direct/crashes/quarantine.ts";
import {
  type CrashKey,
  getCrashKeys,
  getPartKeys,
} from "../process/direct/crashes/crash_keys.ts";
import type { CrashSuspects } from "../process/direct/crashes/crash_suspects.ts";
import type { TargetCrashes } from "../process/direct/crashes/target_crashes.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import { waitAtMost } from "./bounded_wait.ts";

/**
 * Time for which a retry waits to learn whether the target has crashed, in
 * milliseconds: some round trips within a region.
 */
const maxCrashCheckMs = 25;

/** The quarantine as it applies to one request. */
export interface DirectQuarantine {
  /** Returns a refusal when the request is quarantined and not its trial. */
  tryRefuse(): QuarantineRefusal | undefined;
  /** Returns false when work that may have run must not be sent again. */
  canRepeat(): boolean;
  /** Begins an attempt at a target; several may run at the same time. */
  beginAttempt(target: DirectTarget): QuarantineAttempt;
  /** Records that a target has sent a whole response. */
  recordResponse(): void;
  /** Ends the request; a trial without a result can then be repeated. */
  end(): void;
}

/** One attempt of a request that may be quarantined. */
export interface QuarantineAttempt {
  /**
   * Called when the request is about to be sent. Returns true when it must not be
   * sent at this moment. One that is quarantined becomes its trial when that is due.
   */
  isQuarantined(): boolean;
  /**
   * Records that the target dropped the request's connection; resolves when it is
   * known whether the target has crashed, or after a short time.
   */
  recordLoss(): Promise<void>;
  /**
   * Records the first event of the target's response, which shows that it has
   * begun to write on all parts of the prompt.
   */
  recordResponseBegun(): void;
  /**
   * Records that this router has aborted the attempt. The target may still run it
   * and crash.
   */
  recordAbort(): void;
}

/** Creates the quarantine of a request that was not sent yet. */
export function createDirectQuarantine(
  host: {
    readonly crashes: Pick<CrashSuspects, "canRetry" | "recordCrash">;
    readonly quarantine: Quarantine;
    readonly targetCrashes: Pick<TargetCrashes, "check">;
    readonly abortedAttempts: Pick<AbortedAttempts, "add">;
  },
  request: DirectRequest,
): DirectQuarantine {
  const { quarantine } = host;
  const checks: Promise<void>[] = [];
  let keys: readonly CrashKey[] | undefined;
  let isTrial = false;
  let hasResult = false;

  return { tryRefuse, canRepeat, beginAttempt, recordResponse, end };

  function getKeys(): readonly CrashKey[] {
    keys ??= getCrashKeys(request);
    return keys;
  }

  /** Returns what a crash during an attempt can be put down to. */
  function getSuspectKeys(
    { hasResponseBegun }: { readonly hasResponseBegun: boolean },
  ): readonly CrashKey[] {
    return hasResponseBegun
      ? getKeys().filter(({ kind }) => kind !== "part")
      : getKeys();
  }

  function tryRefuse(): QuarantineRefusal | undefined {
    if (isTrial || !quarantine.hasEvidence()) return undefined;
    const refusal = quarantine.tryGetRefusal(getKeys());
    if (refusal === undefined || quarantine.isTrialDue(getKeys())) {
      return undefined;
    }
    return refusal;
  }

  function hasQuarantinedKey(): boolean {
    return quarantine.hasEvidence() &&
      quarantine.tryGetRefusal(getKeys()) !== undefined;
  }

  function canRepeat(): boolean {
    return host.crashes.canRetry(request) && !hasQuarantinedKey();
  }

  function beginAttempt(target: DirectTarget): QuarantineAttempt {
    /** When the request was sent, on the monotonic clock. */
    let sentAt: number | undefined;
    let hasResponseBegun = false;

    return { isQuarantined, recordLoss, recordResponseBegun, recordAbort };

    function isQuarantined(): boolean {
      sentAt = performance.now();
      hasResponseBegun = false;
      if (isTrial || !hasQuarantinedKey()) return false;
      isTrial = quarantine.tryStartTrial(getKeys());
      return !isTrial;
    }

    async function recordLoss(): Promise<void> {
      const losses = host.crashes.recordCrash(request);
      const options = { hasResponseBegun, sentAt: sentAt ?? 0, losses };
      const check = host.targetCrashes.check(target).then((hasCrashed) => {
        if (!hasCrashed) return;
        hasResult = true;
        quarantine.recordCrash(getSuspectKeys(options), target, options);
      });
      checks.push(check);
      await waitAtMost(check, maxCrashCheckMs);
    }

    function recordAbort(): void {
      if (sentAt === undefined) return;
      hasResult = true;
      host.abortedAttempts.add({
        ...{ target, sentAt, hasResponseBegun },
        keys: getSuspectKeys({ hasResponseBegun }),
        deadlineAt: request.deadlineAt,
        trialKeys: isTrial ? getKeys() : [],
      });
    }

    function recordResponseBegun(): void {
      hasResponseBegun = true;
      if (quarantine.hasEvidence()) {
        quarantine.recordResponse(getPartKeys(request));
      }
    }
  }

  function recordResponse(): void {
    hasResult = true;
    if (quarantine.hasEvidence()) quarantine.recordResponse(getKeys());
  }

  function end(): void {
    if (!isTrial) return;
    void Promise.all(checks).then(() => {
      if (!hasResult) quarantine.releaseTrial(getKeys());
    });
  }
}

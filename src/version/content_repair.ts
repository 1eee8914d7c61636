/**
 * Repairs a store whose content differs from another member's at the same
 * version: the platform's content wins, and the version never goes back.
 */

import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Member } from "../types/member.ts";
import type { Platform } from "../types/platform.ts";
import type { Codec } from "./codec.ts";
import { getChecksum } from "./configuration_state.ts";
import { createPatchSequence, type PatchSequence } from "./patch_sequence.ts";
import { readUpdate } from "./platform_reader.ts";

/** Dependencies of the content repair. */
export interface ContentRepairHost {
  readonly platform: Platform;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly codec: Codec;
  readonly sequence: PatchSequence;
  /** Called after the content was replaced. */
  onReplaced(): void;
}

/** Content repair of one store. */
export interface ContentRepair {
  /** Compares the content with the platform's after a checksum mismatch. */
  check(member: Member): Promise<void>;
}

/** Minimum time between two repairs, in milliseconds. */
const minRepairIntervalMs = 10_000;

/** Creates the content repair of one store. */
export function createContentRepair(host: ContentRepairHost): ContentRepair {
  const { codec, log, metrics, platform, sequence } = host;
  let checkedAt = -minRepairIntervalMs;

  return { check };

  async function check(member: Member): Promise<void> {
    if (performance.now() - checkedAt < minRepairIntervalMs) return;
    checkedAt = performance.now();
    metrics.count("configuration_wrong_checksums");
    const { version } = sequence.getState().configuration;
    log.error("Checksum differs from a member's at the same version", {
      version,
      member: member.id,
    });
    const rebuilt = createPatchSequence({ hash: codec.hash });
    const from = rebuilt.getState();
    const readResult = await readUpdate(platform, { from, codec }).run();
    readResult.ifRight((update) => {
      if (update.snapshot !== undefined) rebuilt.adopt(update.snapshot);
      rebuilt.add(update.patches);
      replace(rebuilt);
    });
  }

  function replace(rebuilt: PatchSequence): void {
    const state = rebuilt.getState();
    const isSame = getChecksum(state) === getChecksum(sequence.getState());
    if (isSame || !sequence.replace(state)) return;
    const { version } = state.configuration;
    log.error("Configuration was replaced with the platform's", { version });
    host.onReplaced();
  }
}

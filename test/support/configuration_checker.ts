/**
 * Checks the guarantees of the configuration: versions never go back, content
 * is the same everywhere, and accepted patches come into force in time.
 */

import type { PatchDraft } from "../../src/types/configuration.ts";
import type { Report } from "../../src/types/diagnostics.ts";
import { patchKeyPrefix, tryParsePatch } from "../../src/version/patch_text.ts";
import type { Network, Node } from "./configuration_network.ts";

/** Time within which an accepted patch is in force, in milliseconds. */
export const inForceTimeoutMs = 6_000;

interface AcceptedPatch {
  readonly id: string;
  readonly version: number;
  /**
   * Time from which a store can learn of the patch, in epoch milliseconds: it
   * is accepted, and the platform or a member that has it can be reached.
   */
  reachableAt: number;
}

/** Checks the stores of one run. */
export interface ConfigurationChecker {
  /** Descriptions of the violations found. */
  readonly violations: readonly string[];
  /** Checks the current state of every store. */
  check(): void;
  /** Submits a patch at a node and records the result for its operator. */
  submit(node: Node, draft: PatchDraft): Promise<void>;
  /** Checks the log against the results that operators received. */
  checkLog(): void;
  getAcceptedCount(): number;
}

/** Diagnostic codes after which the patch may still be accepted. */
const unknownOutcomeCodes: readonly string[] = ["patch_outcome_unknown"];

function hasVersion(node: Node, version: number): boolean {
  return node.store.getConfiguration().version >= version;
}

/** Creates a checker of all stores in a network. */
export function createConfigurationChecker(
  network: Network,
): ConfigurationChecker {
  const violations: string[] = [];
  const lastVersions = new Map<string, number>();
  const contentByVersion = new Map<number, string>();
  const accepted: AcceptedPatch[] = [];
  const refusedIds = new Set<string>();

  return {
    violations,
    check,
    submit,
    checkLog,
    getAcceptedCount: () => accepted.length,
  };

  function check(): void {
    for (const node of network.nodes) {
      checkOrder(node);
      checkContent(node);
    }
    for (const patch of accepted) {
      if (!isReachable(patch)) patch.reachableAt = Date.now();
      network.nodes.forEach((node) => checkInForce(node, patch));
    }
  }

  function isReachable(patch: AcceptedPatch): boolean {
    if (!network.platform.serviceFaults.outage) return true;
    return network.nodes.some((node) =>
      !node.isPartitioned && hasVersion(node, patch.version)
    );
  }

  function checkOrder(node: Node): void {
    const { version } = node.store.getConfiguration();
    const previous = lastVersions.get(node.id) ?? 0;
    if (version < previous) {
      report(`${node.id} went back from ${previous} to ${version}`);
    }
    lastVersions.set(node.id, version);
  }

  function checkContent(node: Node): void {
    const { version, workspaces } = node.store.getConfiguration();
    const content = JSON.stringify([...workspaces].sort());
    const expected = contentByVersion.get(version);
    if (expected === undefined) contentByVersion.set(version, content);
    else if (expected !== content) {
      report(`${node.id} has other content at version ${version}`);
    }
  }

  function checkInForce(node: Node, patch: AcceptedPatch): void {
    if (node.isPartitioned) return;
    const since = Math.max(patch.reachableAt, node.connectivityChangedAt);
    if (Date.now() - since < inForceTimeoutMs) return;
    if (!hasVersion(node, patch.version)) {
      report(
        `${node.id} lacks version ${patch.version} after ${inForceTimeoutMs} ms`,
      );
    }
  }

  async function submit(node: Node, draft: PatchDraft): Promise<void> {
    const result = await node.store.operator.submit(draft).run();
    result.caseOf<void>({
      Left: (reports) => recordRefusal(draft, reports),
      Right: ({ version }) => {
        const reachableAt = Date.now();
        accepted.push({ id: draft.id, version, reachableAt });
      },
    });
  }

  function recordRefusal(draft: PatchDraft, reports: readonly Report[]): void {
    const isOutcomeUnknown = reports.some(({ code }) =>
      unknownOutcomeCodes.includes(code)
    );
    if (!isOutcomeUnknown) refusedIds.add(draft.id);
  }

  function checkLog(): void {
    const logged = new Map<string, number>();
    const entries = network.platform.store.list(patchKeyPrefix, { limit: 1e6 });
    for (const entry of entries) {
      const patch = tryParsePatch(entry.value);
      if (patch === undefined) continue;
      if (logged.has(patch.id)) report(`${patch.id} is in the log twice`);
      logged.set(patch.id, patch.version);
    }
    for (const { id, version } of accepted) {
      const loggedVersion = logged.get(id);
      if (loggedVersion !== undefined && loggedVersion !== version) {
        report(
          `${id} was accepted as ${version} but logged as ${loggedVersion}`,
        );
      }
    }
    for (const id of refusedIds) {
      if (logged.has(id) && !accepted.some((patch) => patch.id === id)) {
        report(`${id} was refused but is in the log`);
      }
    }
  }

  function report(violation: string): void {
    if (!violations.includes(violation)) violations.push(violation);
  }
}

/** Watches stores and notes every way in which they break the promise. */

import type { PatchDraft } from "../../src/types/configuration.ts";
import type { Report } from "../../src/types/diagnostics.ts";
import { patchKeyPrefix, tryParsePatch } from "../../src/version/patch_text.ts";
import type { Network, Node } from "./configuration_network.ts";

/** Time in which an accepted patch is in force everywhere. */
export const inForceMs = 6_000;

interface Accepted {
  readonly id: string;
  readonly version: number;
  /**
   * Time since which a store could learn of the patch: it was accepted, and
   * the platform or a member that has it could be reached.
   */
  reachableAt: number;
}

/** A referee of one run. */
export interface Referee {
  /** Breaches found, in words; empty when the promise held. */
  readonly breaches: readonly string[];
  /** Looks at every store now. */
  check(): void;
  /** Submits a patch at a node and notes what its operator was told. */
  submit(node: Node, draft: PatchDraft): Promise<void>;
  /** Checks the log against what operators were told. */
  checkLog(): void;
  getAcceptedCount(): number;
}

/** Answers after which the patch may still be accepted. */
const openCodes: readonly string[] = ["patch_outcome_unknown"];

function hasVersion(node: Node, version: number): boolean {
  return node.store.getConfiguration().version >= version;
}

/** Creates a referee. */
export function createReferee(network: Network): Referee {
  const breaches: string[] = [];
  const versions = new Map<string, number>();
  const contents = new Map<number, string>();
  const accepted: Accepted[] = [];
  const refused = new Set<string>();

  return {
    breaches,
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

  function isReachable(patch: Accepted): boolean {
    if (!network.platform.serviceFaults.outage) return true;
    return network.nodes.some((node) =>
      !node.isCut && hasVersion(node, patch.version)
    );
  }

  function checkOrder(node: Node): void {
    const { version } = node.store.getConfiguration();
    const before = versions.get(node.id) ?? 0;
    if (version < before) {
      note(`${node.id} went back from ${before} to ${version}`);
    }
    versions.set(node.id, version);
  }

  function checkContent(node: Node): void {
    const { version, workspaces } = node.store.getConfiguration();
    const content = JSON.stringify([...workspaces].sort());
    const known = contents.get(version);
    if (known === undefined) contents.set(version, content);
    else if (known !== content) {
      note(`${node.id} has other content at version ${version}`);
    }
  }

  function checkInForce(node: Node, patch: Accepted): void {
    if (node.isCut) return;
    const since = Math.max(patch.reachableAt, node.healedAt);
    if (Date.now() - since < inForceMs) return;
    if (!hasVersion(node, patch.version)) {
      note(`${node.id} lacks version ${patch.version} after ${inForceMs} ms`);
    }
  }

  async function submit(node: Node, draft: PatchDraft): Promise<void> {
    const result = await node.store.operator.submit(draft).run();
    result.caseOf<void>({
      Left: (reports) => noteRefusal(draft, reports),
      Right: ({ version }) => {
        const reachableAt = Date.now();
        accepted.push({ id: draft.id, version, reachableAt });
      },
    });
  }

  function noteRefusal(draft: PatchDraft, reports: readonly Report[]): void {
    const isOpen = reports.some(({ code }) => openCodes.includes(code));
    if (!isOpen) refused.add(draft.id);
  }

  function checkLog(): void {
    const ids = new Map<string, number>();
    const entries = network.platform.store.list(patchKeyPrefix, { limit: 1e6 });
    for (const entry of entries) {
      const patch = tryParsePatch(entry.value);
      if (patch === undefined) continue;
      if (ids.has(patch.id)) note(`${patch.id} stands twice in the log`);
      ids.set(patch.id, patch.version);
    }
    for (const { id, version } of accepted) {
      const held = ids.get(id);
      if (held !== undefined && held !== version) {
        note(`${id} was accepted as ${version} and stands as ${held}`);
      }
    }
    for (const id of refused) {
      if (ids.has(id) && !accepted.some((patch) => patch.id === id)) {
        note(`${id} was refused and is in the log`);
      }
    }
  }

  function note(breach: string): void {
    if (!breaches.includes(breach)) breaches.push(breach);
  }
}

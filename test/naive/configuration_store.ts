/**
 * The naive configuration store, whose faults the configuration tests must
 * detect: it applies patches in order of arrival, whatever their versions, and
 * assumes that a failed write had no effect.
 */

import { EitherAsync, Left, Right } from "purify-ts";
import type { Patch } from "../../src/types/configuration.ts";
import { createReport } from "../../src/types/diagnostics.ts";
import {
  applyPatch,
  type ConfigurationState,
  createEmptyState,
  getChecksum,
} from "../../src/version/configuration_state.ts";
import type {
  ConfigurationStoreHost,
  LocalConfigurationStore,
} from "../../src/version/configuration_store.ts";
import { checkDraft } from "../../src/version/patch_check.ts";
import {
  formatPatch,
  getPatchKey,
  tryParsePatch,
} from "../../src/version/patch_text.ts";

/** Creates a store that applies every patch on arrival. */
export function createNaiveStore(
  host: ConfigurationStoreHost,
): LocalConfigurationStore {
  const listeners: ((patch: Patch) => void)[] = [];
  let state = createEmptyState();

  return {
    getConfiguration: () => state.configuration,
    getChecksum: () => getChecksum(state),
    onChange: () => undefined,
    onPatch: (listener) => {
      listeners.push(listener);
    },
    offerPatches: (texts) => {
      for (const text of texts) {
        const patch = tryParsePatch(text);
        if (patch !== undefined) apply(patch);
      }
    },
    handleVersion: () => undefined,
    isLoaded: () => true,
    serve: () => Promise.resolve(undefined),
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    dump: () => ({}),
    operator: {
      submit: (value) =>
        EitherAsync.liftEither(checkDraft(value)).chain((draft) =>
          EitherAsync.fromPromise(async () => {
            const version = state.configuration.version + 1;
            const patch = { ...draft, version, acceptedAt: Date.now() };
            const putResult = await host.platform.put(
              getPatchKey(version),
              formatPatch(patch),
              { expectedRevision: 0 },
            ).run();
            if (putResult.isLeft()) {
              return Left([createReport("platform_unavailable")]);
            }
            apply(patch);
            host.spreadPatch(patch);
            return Right({ version, wasKnown: false, patch });
          })
        ),
      findPatch: () => {
        throw new Error("The naive store keeps no records");
      },
      getHistory: () => state.records,
    },
  };

  function apply(patch: Patch): void {
    const version = patch.version - 1;
    const base: ConfigurationState = {
      ...state,
      configuration: { ...state.configuration, version },
    };
    state = applyPatch(base, patch, host.codec);
    listeners.forEach((listener) => listener(patch));
  }
}

/**
 * Acquires the fencing numbers of orders to a target. Each is the revision of
 * a key in the platform's service, so a later order has a higher number.
 */

import { EitherAsync } from "purify-ts";
import type { Platform, PlatformError } from "../../types/platform.ts";

/** Maximum number of writes while they conflict or their responses are lost. */
const maxTries = 8;

/** Acquires the next fencing number for orders to a target. */
export function acquireFencingNumber(
  platform: Platform,
  options: { readonly target: string; readonly operator: string },
): EitherAsync<PlatformError, number> {
  const key = `order/${options.target}`;
  return EitherAsync(async ({ fromPromise, throwE }) => {
    for (let tries = 1;; tries++) {
      const entry = await fromPromise(platform.get(key));
      const expectedRevision = entry?.revision ?? 0;
      const written = await platform
        .put(key, options.operator, { expectedRevision })
        .run();
      const error = written.swap().toMaybe().extract();
      if (error === undefined) return written.orDefault(0);
      // If the response was lost, its number is skipped; the next is higher.
      const mayRetry = error.kind === "conflict" || error.kind === "unknown";
      if (!mayRetry || tries >= maxTries) return throwE(error);
    }
  });
}

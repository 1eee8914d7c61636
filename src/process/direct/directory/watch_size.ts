/**
 * Bounds the size of changes that are worth reading.
 *
 * Load pattern: large values are written faster than a slow link brings them. The
 * changes hold each of them, so that every response is longer than the one before
 * it; a listing holds the newest alone.
 */

import type { DirectoryReplica } from "./directory_replica.ts";

/** Size of changes that are read in any case, in bytes. */
const minBytes = 512 * 1024;

/** Bytes of a response per UTF-16 code unit of the values, with their keys. */
const bytesPerCharacter = 1.5;

/** Returns the size from which a listing takes less than changes, in bytes. */
export function getMaxWatchBytes(
  replica: Pick<DirectoryReplica, "getValueLength">,
): number {
  return Math.max(minBytes, replica.getValueLength() * bytesPerCharacter);
}

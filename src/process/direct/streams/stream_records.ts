/** Remembers for a time at which software version streams began. */

/** Time for which a stream is remembered, in milliseconds. */
export const streamRecordTtlMs = 120_000;

/** Maximum number of streams; the oldest are dropped. */
const maxRecords = 20_000;

/** The version of a stream that is not known, or that is ambiguous. */
export const unknownVersion = 0;

/** The streams that one router remembers. */
export interface StreamRecords {
  /** Records a stream; two versions of one key leave it without a version. */
  put(key: number, version: number): void;
  /** Returns the version, or `unknownVersion`; undefined without a record. */
  tryGet(key: number): number | undefined;
  getSize(): number;
}

/** Creates records without a stream. */
export function createStreamRecords(): StreamRecords {
  /** Records by key, those that were written first at the front. */
  const records = new Map<
    number,
    { readonly version: number; readonly at: number }
  >();

  return { put, tryGet, getSize: () => records.size };

  function put(key: number, version: number): void {
    const known = tryGet(key);
    records.delete(key);
    records.set(key, {
      version: known === undefined || known === version
        ? version
        : unknownVersion,
      at: performance.now(),
    });
    removeOld();
  }

  function removeOld(): void {
    for (const [key, { at }] of records) {
      const isOld = performance.now() - at > streamRecordTtlMs;
      if (!isOld && records.size <= maxRecords) return;
      records.delete(key);
    }
  }

  function tryGet(key: number): number | undefined {
    const record = records.get(key);
    return record === undefined ||
        performance.now() - record.at > streamRecordTtlMs
      ? undefined
      : record.version;
  }
}

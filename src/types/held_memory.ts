/** The memory that one request and its response take, as a narrow host. */

/** A place that holds bytes of a response, measured when it matters. */
export interface MemorySource {
  /** Returns the bytes that are held there now. */
  getHeldBytes(): number;
  /**
   * Returns how many bytes the caller has taken so far; only its growth counts.
   * Absent where the bytes don't wait for the caller.
   */
  getTakenBytes?(): number;
}

/** What one request and its response take. */
export interface MemoryShare {
  /**
   * Records how many bytes of an incomplete response are buffered now. Returns
   * false, and keeps what was recorded before, when there is no memory left for
   * them.
   */
  trySet(bytes: number): boolean;
  /** As `trySet`, for the body of a request, which is refused earlier. */
  trySetBody(bytes: number): boolean;
  /** Counts what a source holds, too, until the returned function is called. */
  follow(source: MemorySource): () => void;
  /** Returns true while what the sources hold may grow. */
  mayGrow(): boolean;
  /**
   * Returns undefined when more of the response may be read from its target;
   * otherwise a promise that resolves when it may.
   */
  waitToRead(): Promise<void> | undefined;
  /** Records that the caller has taken all that was written; reads on. */
  recordDrained(): void;
  /** Records that nothing is taken any more. */
  release(): void;
}

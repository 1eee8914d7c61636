/** Waits for a caller who reads more slowly than a target writes, and for a turn. */

/** Waits until the caller can take more data or the signal is aborted. */
export function waitUntilWritable(
  writable: Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener("abort", finish, { once: true });
    if (signal.aborted) finish();
    void writable.then(finish);

    function finish(): void {
      signal.removeEventListener("abort", finish);
      resolve();
    }
  });
}

/** Waits for a time, unless the signal is aborted before. */
export function sleepUntilAborted(
  ms: number,
  signal: AbortSignal,
): Promise<void> | undefined {
  if (ms === 0) return undefined;
  return new Promise((resolve) => {
    const timer = setTimeout(finish, ms);
    signal.addEventListener("abort", finish, { once: true });
    if (signal.aborted) finish();

    function finish(): void {
      clearTimeout(timer);
      signal.removeEventListener("abort", finish);
      resolve();
    }
  });
}

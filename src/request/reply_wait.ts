/** Waits for a caller who reads more slowly than a target writes. */

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

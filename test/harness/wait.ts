/** Waits for conditions by polling. */

/** Time between two polls, in milliseconds. */
const pollIntervalMs = 10;

/** Default timeout, in milliseconds; only a failing test reaches it. */
const defaultTimeoutMs = 20_000;

/** Polls until a value other than false is returned, and returns it. */
export async function waitFor<T>(
  description: string,
  poll: () => Promise<T | undefined | false> | T | undefined | false,
  options: { readonly timeoutMs?: number } = {},
): Promise<T> {
  const deadlineAt = performance.now() +
    (options.timeoutMs ?? defaultTimeoutMs);
  while (performance.now() < deadlineAt) {
    const value = await poll();
    if (value !== undefined && value !== false) return value;
    await sleep(pollIntervalMs);
  }
  throw new Error(`Timed out waiting for ${description}`);
}

/** Waits for a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

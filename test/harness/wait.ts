/** Waits for events by asking again and again. */

/** Time between two looks, in milliseconds. */
const pollIntervalMs = 10;

/** Usual longest wait, in milliseconds; only a failing test reaches it. */
const defaultTimeoutMs = 20_000;

/** Waits until the look returns a value, and returns it. */
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
  throw new Error(`Waited in vain for ${description}`);
}

/** Pauses. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

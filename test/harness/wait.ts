/** Waits for events by asking again and again. */

/** Time between two looks, in milliseconds. */
const pollMs = 10;

/** Usual longest wait, in milliseconds; only a failing test reaches it. */
const usualTimeoutMs = 20_000;

/** Waits until the look returns a value, and returns it. */
export async function waitFor<T>(
  what: string,
  look: () => Promise<T | undefined | false> | T | undefined | false,
  options: { readonly timeoutMs?: number } = {},
): Promise<T> {
  const endsAt = performance.now() + (options.timeoutMs ?? usualTimeoutMs);
  while (performance.now() < endsAt) {
    const value = await look();
    if (value !== undefined && value !== false) return value;
    await sleep(pollMs);
  }
  throw new Error(`Waited in vain for ${what}`);
}

/** Pauses. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Waits that end by themselves. */

/** Waits until a promise resolves, for a time in milliseconds at most. */
export async function waitAtMost(
  promise: Promise<void>,
  timeoutMs: number,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, Math.max(0, timeoutMs));
  });
  await Promise.race([promise, timeout]);
  clearTimeout(timer);
}

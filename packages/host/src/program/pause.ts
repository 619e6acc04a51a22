/** Waits; returns at once when there is no time to wait. */
export async function pause (durationMs: number): Promise<void> {
  if (durationMs > 0) await new Promise((resolve) => setTimeout(resolve, durationMs))
}

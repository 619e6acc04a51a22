/** Resolves after `durationMs`, without a timer when that is not positive. */
export async function delay (durationMs: number): Promise<void> {
  if (durationMs > 0) await new Promise((resolve) => setTimeout(resolve, durationMs))
}

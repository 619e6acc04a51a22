/** Delays single writes and commits while a planned change of primary hands over. */
export class WritePause {
  #resumed: Promise<void> | undefined
  #resume: (() => void) | undefined

  static create (): WritePause {
    return new WritePause()
  }

  begin (): void {
    this.#resumed ??= new Promise((resolve) => { this.#resume = resolve })
  }

  end (): void {
    this.#resume?.()
    this.#resumed = undefined
  }

  /** Waits for the end of the pause, for at most `timeLeftMs`. */
  async wait (timeLeftMs: number): Promise<void> {
    if (this.#resumed === undefined) return
    await Promise.race([this.#resumed, new Promise((resolve) => setTimeout(resolve, timeLeftMs))])
  }
}

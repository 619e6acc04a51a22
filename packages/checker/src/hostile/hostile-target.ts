/** Code that takes bytes from outside. It must refuse what is malformed with a typed error, and with nothing else. */
export interface HostileTarget {
  readonly name: string
  /** Well-formed inputs that the fuzzer starts from. */
  readonly seeds: readonly Buffer[]
  /** Throws a TanagerusherError or returns; anything else is a fault. */
  run(input: Buffer): void
}

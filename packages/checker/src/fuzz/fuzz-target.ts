/** Parser of untrusted bytes. It must reject malformed input with a typed error and must not fail in any other way. */
export interface FuzzTarget {
  readonly name: string
  /** Well-formed inputs that the fuzzer mutates. */
  readonly seeds: readonly Buffer[]
  /** Parses the input. Any thrown error other than a TanagerusherError is a fault. */
  run(input: Buffer): void
}

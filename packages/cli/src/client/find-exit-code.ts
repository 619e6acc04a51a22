/** Exit codes of `tanagerusherctl`; docs/reference/cli.md lists them. */
const EXIT_CODES: Record<string, number> = {
  usage: 2,
  'object-invalid': 3,
  'version-conflict': 4,
  'object-unknown': 5,
  'operator-unknown': 6,
  'operator-denied': 6,
  'store-unavailable': 7,
  unreachable: 8
}
const OTHER_FAILURE_EXIT_CODE = 1

/** Returns the exit code for a kind of failure. */
export function findExitCode (kind: string): number {
  return EXIT_CODES[kind] ?? OTHER_FAILURE_EXIT_CODE
}

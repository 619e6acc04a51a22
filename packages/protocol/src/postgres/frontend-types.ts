/** Type bytes of frontend messages. */
export const frontendTypes = {
  bind: 0x42,
  close: 0x43,
  describe: 0x44,
  execute: 0x45,
  functionCall: 0x46,
  flush: 0x48,
  parse: 0x50,
  query: 0x51,
  sync: 0x53,
  terminate: 0x58,
  copyDone: 0x63,
  copyData: 0x64,
  copyFail: 0x66,
  /** SASLInitialResponse, SASLResponse and PasswordMessage share one type. */
  password: 0x70
} as const

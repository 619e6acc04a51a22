/** Type bytes of the PostgreSQL backend messages that the pool interprets. */
export const backendMessageTypes = {
  authentication: 0x52, // R
  backendKeyData: 0x4b, // K
  commandComplete: 0x43, // C
  copyIn: 0x47, // G
  copyBoth: 0x57, // W
  dataRow: 0x44, // D
  error: 0x45, // E
  notice: 0x4e, // N
  notification: 0x41, // A
  parameterStatus: 0x53, // S
  readyForQuery: 0x5a, // Z
  rowDescription: 0x54 // T
} as const

/** Exit codes of every program. */
export const exitCodes = {
  success: 0,
  failure: 1,
  usage: 2,
  settingsInvalid: 3,
  interrupted: 130
} as const

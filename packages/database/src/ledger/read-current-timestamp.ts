/** Returns the current time in the text form of `timestamptz`. */
export function readCurrentTimestamp (): string {
  const text = new Date().toISOString()
  return `${text.slice(0, 10)} ${text.slice(11, 23)}+00`
}

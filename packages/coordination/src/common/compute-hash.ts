const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193

/** FNV-1a, 32 bits. For spreading names over hosts or partitions, not for security. */
export function computeHash (text: string): number {
  let hash = OFFSET_BASIS
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), PRIME)
  return hash >>> 0
}

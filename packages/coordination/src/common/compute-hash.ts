const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193

/** Computes the 32-bit FNV-1a hash. It distributes names over hosts or partitions and is not cryptographic. */
export function computeHash (text: string): number {
  let hash = OFFSET_BASIS
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), PRIME)
  return hash >>> 0
}

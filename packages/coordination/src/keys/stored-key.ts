import type { Key } from '@tanagerusher/state/configuration/key'

export interface StoredKey extends Key {
  name: string
  version: number
}

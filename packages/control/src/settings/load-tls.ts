import { readFileSync } from 'node:fs'
import type { HostSettings } from '@tanagerusher/runtime/settings/host-settings'

/** Reads the fleet certificate named in the settings; undefined without one. */
export function loadTls (tls: HostSettings['tls']): { cert: Buffer, key: Buffer, ca: Buffer } | undefined {
  return tls === undefined
    ? undefined
    : { cert: readFileSync(tls.certificateFile), key: readFileSync(tls.keyFile), ca: readFileSync(tls.authorityFile) }
}

import { FrameCodec } from '@tanagerusher/transport/peer/frame-codec'
import { buildChange } from './build-change.js'
import { buildReplica } from './build-replica.js'

/** Measures the size of a snapshot and of one change in the encoding that is used between processes. */
export function measureConfigurationBytes (size: number): { size: number, snapshotBytesPerObject: number, changeBytes: number } {
  const replica = buildReplica(size)
  const snapshotBytes = FrameCodec.create().encode(replica.createSnapshot()).length
  const update = replica.applyStoreChanges([buildChange(0, size + 1)])
  return { size, snapshotBytesPerObject: Math.round(snapshotBytes / size), changeBytes: FrameCodec.create().encode(update).length }
}

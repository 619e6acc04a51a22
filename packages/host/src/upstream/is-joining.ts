import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'

/** Whether the operation belongs to an open transaction. */
export function isJoining (operation: UpstreamExecuteParams['operation']): boolean {
  return operation.type === 'commit' || (operation.type === 'run' && operation.transaction === 'joins')
}

import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'

/** Whether the operation is a single write or a commit. */
export function isWrite (operation: UpstreamExecuteParams['operation']): boolean {
  return operation.type === 'commit' || (operation.type === 'run' && operation.access === 'write' && operation.transaction === 'none')
}

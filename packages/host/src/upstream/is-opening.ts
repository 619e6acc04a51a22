import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'

/** Whether the operation opens a transaction with its first statement. */
export function isOpening (operation: UpstreamExecuteParams['operation']): boolean {
  return operation.type === 'run' && operation.transaction === 'opens'
}

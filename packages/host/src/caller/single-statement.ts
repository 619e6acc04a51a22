import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementAccess } from '@tanagerusher/state/upstream/upstream-command'

export interface SingleStatement {
  id: string
  text: string
  access: StatementAccess
  needed: UpstreamExecuteParams['needed']
}

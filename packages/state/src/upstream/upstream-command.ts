import type { Position } from '../position/position.js'

export type StatementAccess = 'read' | 'write'

/** Command that the proxy sends on one upstream connection. Only `run` and `commit` carry a caller's identifier. */
export type UpstreamCommand =
  | { type: 'begin', isReadOnly: boolean, after: Position | undefined }
  | { type: 'rollback' }
  | { type: 'reset' }
  | { type: 'set', name: string, value: string }
  | { type: 'prepare', name: string, access: StatementAccess, shape: string }
  | { type: 'deallocate', name: string }
  | { type: 'run', id: string, text: string, after: Position | undefined }
  | { type: 'commit', id: string }
  | { type: 'status' }
  | { type: 'pause', term: number }
  | { type: 'resume' }
  /** Demotes a primary of a lower term to a replica. */
  | { type: 'step-down', term: number }

import type { UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'

export interface RoutedResult { result: UpstreamExecuteResult, host: string }

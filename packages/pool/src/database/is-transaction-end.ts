import type { ExecuteParams } from '@tanagerusher/protocol/peer/execute'

/** `DO`, `CALL` and procedures may commit too. */
const END_WORDS = /\b(commit|end|rollback|abort|prepare|call|do)\b/i

/** Whether the work may end the transaction. True too often costs a status query; false too often would be wrong. */
export function isTransactionEnd ({ frames, statements }: Pick<ExecuteParams, 'frames' | 'statements'>): boolean {
  return [frames, ...statements.map(({ parse }) => parse)].some((bytes) => (
    END_WORDS.test(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1'))
  ))
}

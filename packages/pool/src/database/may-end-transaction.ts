import type { ExecuteParams } from '@tanagerusher/protocol/peer/execute'

/** Includes `DO` and `CALL`, because code blocks and procedures may commit. */
const TRANSACTION_END_PATTERN = /\b(commit|end|rollback|abort|prepare|call|do)\b/i

/** Whether the work may end the transaction. A false positive costs one status query; a false negative would be incorrect. */
export function mayEndTransaction ({ frames, statements }: Pick<ExecuteParams, 'frames' | 'statements'>): boolean {
  return [frames, ...statements.map(({ parse }) => parse)].some((bytes) => (
    TRANSACTION_END_PATTERN.test(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1'))
  ))
}

/** `idle`: no transaction is open; `transaction`: one is open; `failed`: the open transaction can only be ended. */
export type TransactionState = 'idle' | 'transaction' | 'failed'

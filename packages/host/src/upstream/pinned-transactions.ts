import type { PinnedTransaction } from './pinned-transaction.js'

/** A pinned transaction that is idle for longer is orphaned. Well above every idle timeout that hosts apply to callers. */
const ORPHANED_TRANSACTION_MS = 15_000

/** Open transactions at one database, by session. */
export class PinnedTransactions extends Map<string, PinnedTransaction> {
  static create (): PinnedTransactions {
    return new PinnedTransactions()
  }

  isAnyOnPrimary (): boolean {
    return [...this.values()].some(({ isOnPrimary }) => isOnPrimary)
  }

  /** Whether the host of the session, which itself enforces the idle timeout of its callers, no longer uses the transaction. */
  isOrphaned (session: string, now: number): boolean {
    const transaction = this.get(session)
    return transaction !== undefined && !transaction.isBusy && now - transaction.usedAt > ORPHANED_TRANSACTION_MS
  }

  /** Removes and returns the transactions of the sessions that `isSelected` accepts. */
  take (isSelected: (session: string) => boolean): PinnedTransaction[] {
    const selected = [...this].filter(([session]) => isSelected(session))
    for (const [session] of selected) this.delete(session)
    return selected.map(([, transaction]) => transaction)
  }
}

import { budgetExchange } from '@tanagerusher/protocol/peer/budget-exchange'
import { hostPing } from '@tanagerusher/protocol/peer/host-ping'
import { objectsFetch } from '@tanagerusher/protocol/peer/objects-fetch'
import { promotionNotice } from '@tanagerusher/protocol/peer/promotion-notice'
import { promotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import { leaderPosition } from '@tanagerusher/protocol/peer/leader-position'
import { upstreamExecute, type UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'
import { upstreamProbe } from '@tanagerusher/protocol/peer/upstream-probe'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { HostServices } from '../program/host-services.js'

/** Handles the calls of one other host, and ends its transactions when its connection closes. */
export function registerPeerMethods (connection: PeerConnection, services: HostServices): void {
  const { clock, budget, registry, upstreams } = services
  const findRecord = (id: string): UpstreamRecord | undefined => upstreams.directory.find(id, clock.readTime())
  connection.addMethod(hostPing, async () => {
    services.checkClocks()
    return { isLeaving: services.isLeaving(), copies: Object.fromEntries(services.watchers.map((watcher) => [watcher.kind, watcher.describe()])) }
  })
  connection.addMethod(objectsFetch, async ({ kind, era, since }) => {
    const watcher = services.watchers.find((candidate) => candidate.kind === kind)
    return watcher?.listChanges(orderedRevision.decode({ era, revision: since }) ?? -1) ?? { era: 0, revision: -1, names: [], changed: [] }
  })
  connection.addMethod(budgetExchange, async ({ deposits, wants }) => ({ grants: budget.handleExchange(deposits, wants) }))
  connection.addMethod(upstreamExecute, async (params): Promise<UpstreamExecuteResult> => {
    const record = findRecord(params.databaseId)
    if (record !== undefined) return await registry.find(record).execute(params)
    return { answer: { type: 'failed', failure: 'wrong-upstream', text: 'the database is not in the directory' }, wasSent: false, waitMs: 0 }
  })
  connection.addMethod(leaderPosition, async ({ databaseId }) => {
    const record = findRecord(databaseId)
    if (record === undefined) return { ageMs: 0 }
    services.checkClocks()
    return await services.findPositionTracker(record.group).readLeaderPosition()
  })
  connection.addMethod(upstreamProbe, async ({ databaseId }) => {
    const record = findRecord(databaseId)
    return { isReachable: record !== undefined && await registry.find(record).probe() }
  })
  connection.addMethod(promotionNotice, async ({ group, claim, era, revision, quiesceMs }) => {
    const claimRevision = orderedRevision.decode({ era, revision })
    if (claimRevision === undefined) throw new RangeError(`revision ${revision} of era ${era} is out of range`)
    const isReleased = await services.claimHandler.release(group, promotionClaim.parse(claim), claimRevision, quiesceMs)
    if (!isReleased) throw new Error('a newer claim of the group is known')
    return {}
  })
  void Promise.all([connection.remoteHello, connection.closed]).then(
    ([hello]) => { registry.abortTransactionsOf(hello.incarnation) },
    () => {} // a connection without a hello has no transactions
  )
}

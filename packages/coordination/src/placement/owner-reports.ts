interface Report {
  waitMs: number
  receivedAt: number
  sentSince: number
  /** Expected service times and their times of receipt by priority. */
  services: Map<number, { serviceMs: number, receivedAt: number }>
}

interface Load {
  waitMs: number
  serviceMs?: number | undefined
}

interface EstimatedLoad {
  waitMs: number
  serviceMs: number | undefined
  /** Falls from 1 to 0 with the age of the report. */
  serviceWeight: number
}

/** The weight of a wait that an owner reported falls linearly to 0 over this time. */
const WAIT_VALID_MS = 400
/**
 * The same for a service time, which changes slowly. Many hosts send a group less than one read per second; with the validity of
 * a wait they would try a slow database with nearly every read.
 */
const SERVICE_VALID_MS = 10_000

/** What the owners of databases reported about waits and service times, and what this host has sent since. */
export class OwnerReports {
  readonly #reports = new Map<string, Report>()

  static create (): OwnerReports {
    return new OwnerReports()
  }

  /** Counts an operation that no report includes yet. Without the count, all operations of the next 400 ms go to the same database. */
  recordSent (databaseId: string): void {
    this.#find(databaseId).sentSince++
  }

  recordLost (databaseId: string): void {
    const report = this.#find(databaseId)
    report.sentSince = Math.max(0, report.sentSince - 1)
  }

  record (databaseId: string, priority: number, { waitMs, serviceMs }: Load, now: number): void {
    const report = this.#find(databaseId)
    report.waitMs = waitMs
    report.receivedAt = now
    report.sentSince = 0
    if (serviceMs !== undefined) report.services.set(priority, { serviceMs, receivedAt: now })
  }

  estimate (databaseId: string, priority: number, slots: number, now: number): EstimatedLoad {
    const report = this.#reports.get(databaseId)
    if (report === undefined) return { waitMs: 0, serviceMs: undefined, serviceWeight: 0 }
    const service = report.services.get(priority)
    const waitWeight = Math.max(0, 1 - (now - report.receivedAt) / WAIT_VALID_MS)
    return {
      waitMs: report.waitMs * waitWeight + report.sentSince * (service?.serviceMs ?? 0) / Math.max(1, slots),
      serviceMs: service?.serviceMs,
      serviceWeight: service === undefined ? 0 : Math.max(0, 1 - (now - service.receivedAt) / SERVICE_VALID_MS)
    }
  }

  #find (databaseId: string): Report {
    const report = this.#reports.get(databaseId) ?? { waitMs: 0, receivedAt: -Infinity, sentSince: 0, services: new Map() }
    this.#reports.set(databaseId, report)
    return report
  }
}

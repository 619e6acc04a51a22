import { hostSettingsSchema } from '@tanagerusher/runtime/settings/host-settings'
import { z } from 'zod'

const port = z.number().int().min(0).max(65535)
const milliseconds = z.number().int().positive()

/** Settings of `tanagerusher-entry`. */
export const entrySettingsSchema = hostSettingsSchema.extend({
  callerPort: port.default(6432).describe('Port for callers (PostgreSQL protocol)'),
  peerPort: port.default(7433).describe('Port for other entries, which forward cancel requests'),
  metricsPort: port.default(9433).describe('HTTP port of /metrics, /live and /ready'),
  control: z.array(z.object({ host: z.ipv4(), port })).min(1).describe("Addresses of control processes, the own host's first"),
  sessionKeys: z.array(z.object({ id: z.string().regex(/^[\w-]{1,16}$/), secret: z.string().min(32) })).min(1)
    .describe('Fleet keys that authenticate session tokens. The first signs, all are accepted; the same on every host'),
  callerTls: z.object({
    certificateFile: z.string(),
    keyFile: z.string(),
    required: z.boolean().default(false).describe('Refuse callers that do not ask for TLS')
  }).optional(),
  limits: z.object({
    maximumCallers: z.number().int().positive().default(20_000),
    maximumPendingLogIns: z.number().int().positive().default(2000).describe('Callers that have not logged in yet; the oldest is dropped'),
    maximumHeldFailures: z.number().int().positive().default(500).describe('Failed log-ins whose answer is delayed; above it the connection is closed at once'),
    logInTimeoutMs: milliseconds.default(10_000),
    logInFailureDelayMs: milliseconds.default(1000),
    maximumMessageBytes: z.number().int().min(1024).max(8 * 1024 * 1024).default(4 * 1024 * 1024),
    maximumBatchMessages: z.number().int().positive().default(10_000).describe('Extended-protocol messages before a Sync'),
    maximumBatchBytes: z.number().int().min(1024).max(12 * 1024 * 1024).default(8 * 1024 * 1024),
    maximumPipelinedBytes: z.number().int().positive().default(256 * 1024).describe('Received bytes that wait behind a running request before reading stops'),
    maximumStatements: z.number().int().positive().default(1000).describe('Named prepared statements of a session'),
    idleSessionTimeoutMs: milliseconds.default(3_600_000),
    slowCallerTimeoutMs: milliseconds.default(60_000).describe('Longest time that a caller takes no result bytes'),
    keepAliveMs: milliseconds.default(30_000).describe('TCP keep-alive, which finds half-open callers')
  }).prefault({}),
  windowBytes: z.number().int().positive().default(512 * 1024).describe('Result bytes that a pool sends ahead of the caller'),
  grantWaitMs: milliseconds.default(250),
  catchUpWaitMs: milliseconds.default(150),
  statusMaximumAgeMs: milliseconds.default(3000).describe('Status of a database older than this is not used for reads'),
  configurationMaximumAgeMs: milliseconds.default(10_000).describe('The host stops serving when its configuration is confirmed no later than this'),
  answerGraceMs: milliseconds.default(2000).describe('Wait for a pool beyond the statement deadline that it enforces'),
  drainTimeoutMs: milliseconds.default(30_000).describe('Longest graceful shutdown; transactions still open are then rolled back'),
  certificateCheckMs: milliseconds.default(10_000),
  sweepMs: milliseconds.default(1000).describe('Interval at which the time limits of callers are checked')
})

export type EntrySettings = z.infer<typeof entrySettingsSchema>

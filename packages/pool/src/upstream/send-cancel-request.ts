import { connect } from 'node:net'
import { serialize } from 'pg-protocol'

interface CancelOptions {
  host: string
  port: number
  processId: number
  secretKey: number
}

const CANCEL_TIMEOUT_MS = 1000

/**
 * Requests that the upstream cancel the statement that a connection runs. Resolves with true when the upstream has closed the
 * cancel connection: the signal has been delivered and cannot cancel a later statement. Resolves with false when the delivery
 * is unknown.
 */
export async function sendCancelRequest ({ host, port, processId, secretKey }: CancelOptions): Promise<boolean> {
  return await new Promise((resolve) => {
    const socket = connect({ host, port })
    let isSent = false
    socket.setTimeout(CANCEL_TIMEOUT_MS, () => { settle(false) })
    const settle = (delivered: boolean): void => {
      socket.destroy()
      resolve(delivered)
    }
    socket.once('connect', () => {
      isSent = true
      socket.write(serialize.cancel(processId, secretKey))
    })
    socket.once('error', () => { settle(false) })
    socket.on('data', () => {})
    socket.once('end', () => { settle(isSent) })
    socket.once('close', () => { settle(false) })
  })
}

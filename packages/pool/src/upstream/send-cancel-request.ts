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
 * Asks the upstream to cancel what a connection runs. Resolves when the upstream has closed the cancel connection, true:
 * the signal has then been delivered and cannot hit a later statement. False: nothing is known about it.
 */
export async function sendCancelRequest ({ host, port, processId, secretKey }: CancelOptions): Promise<boolean> {
  return await new Promise((resolve) => {
    const socket = connect({ host, port })
    let sent = false
    socket.setTimeout(CANCEL_TIMEOUT_MS, () => { settle(false) })
    const settle = (delivered: boolean): void => {
      socket.destroy()
      resolve(delivered)
    }
    socket.once('connect', () => {
      sent = true
      socket.write(serialize.cancel(processId, secretKey))
    })
    socket.once('error', () => { settle(false) })
    socket.on('data', () => {})
    socket.once('end', () => { settle(sent) })
    socket.once('close', () => { settle(false) })
  })
}

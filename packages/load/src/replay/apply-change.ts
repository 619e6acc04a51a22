import type { Fleet } from '../fleet/fleet.js'
import type { TraceEvent } from './trace.js'

type ChangeEvent = Extract<TraceEvent, { type: 'change' }>

/** Makes one change of a trace the way an operator does. Returns whether it was accepted, with the response or the exit codes as text. */
export async function applyChange (fleet: Fleet, { change, target, value }: ChangeEvent): Promise<{ accepted: boolean, text: string }> {
  switch (change) {
    case 'withdraw-key': return await postChange(fleet, `/v1/keys/${target}-1/withdraw`)
    case 'issue-key': return await issueKey(fleet, target)
    case 'set-rate': return await setRate(fleet, target, value)
    case 'database-leaves': {
      const database = await fleet.resolveDatabase(target)
      const group = fleet.plan.groups.find(({ databases }) => databases.some(({ name }) => name === database))
      return await postChange(fleet, `/v1/groups/${group?.name}/databases/${database}/drain`)
    }
    case 'host-leaves': {
      const codes = await fleet.stop(target)
      return { accepted: codes.every((code) => code === 0), text: `exit codes ${codes.join()}` }
    }
  }
}

async function postChange (fleet: Fleet, path: string): Promise<{ accepted: boolean, text: string }> {
  const { status, body } = await fleet.callAdministration('POST', path)
  return { accepted: status < 300, text: `${status} ${JSON.stringify(body)}` }
}

async function issueKey (fleet: Fleet, organisation: string): Promise<{ accepted: boolean, text: string }> {
  const { status, body } = await fleet.callAdministration('POST', `/v1/keys/${organisation}-1/issue`, {})
  const { key, generation } = body as { key?: string, generation?: number }
  if (status < 300 && key !== undefined && generation !== undefined) fleet.setKey(organisation, key, generation)
  return { accepted: status < 300, text: `${status}` }
}

async function setRate (fleet: Fleet, organisation: string, rate: number | undefined): Promise<{ accepted: boolean, text: string }> {
  const path = `/v1/organisations/${organisation}`
  const { status: readStatus, body } = await fleet.callAdministration('GET', path)
  if (readStatus !== 200) return { accepted: false, text: `${readStatus} ${JSON.stringify(body)}` }
  const { version, value } = body as { version: number, value: object }
  const { status, body: response } = await fleet.callAdministration('PUT', path, { ...value, rate }, { 'if-match': `"${version}"` })
  return { accepted: status < 300, text: `${status} ${JSON.stringify(response)}` }
}

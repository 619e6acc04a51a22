import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { errorsCatalogue } from '../src/catalogue/errors-catalogue.js'
import type { ErrorDefinition } from '../src/catalogue/error-definition.js'
import { TanagerusherError } from '../src/tanagerusher-error.js'

describe('TanagerusherError', () => {
  it('fills message and hint from the details', () => {
    const error = TanagerusherError.create('rate-exceeded', { details: { organisation: 'o1', retryAfterMs: 40 } })
    assert.equal(error.message, 'Organisation o1 is over its rate.')
    assert.equal(error.hint, 'Not run. Repeat after 40 ms.')
    assert.equal(error.definition.sqlState, '53400')
    assert.ok(error instanceof Error)
  })

  // Guards against a hint that contradicts the outcome a caller acts on.
  it('states the outcome at the start of the hint of every not-run and unknown kind', () => {
    for (const [kind, definition] of Object.entries(errorsCatalogue) as Array<[string, ErrorDefinition]>) {
      if (kind === 'authentication-failed' || kind === 'internal') continue
      if (definition.outcome === 'not-run') assert.match(definition.hint, /^Not run/, kind)
      if (definition.outcome === 'unknown') assert.match(definition.hint, /^Outcome unknown/, kind)
      assert.match(definition.sqlState, /^[0-9A-Z]{5}$/, kind)
    }
  })
})

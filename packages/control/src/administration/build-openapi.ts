import { z } from 'zod'
import type { Route } from './route.js'

const errorSchema = z.object({
  kind: z.string(),
  message: z.string(),
  found: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).describe('What was found, by field'),
  remedy: z.string()
})

/** Builds the OpenAPI 3.1 document of the administration API from the schemas that also validate the requests. */
export function buildOpenapi (routes: readonly Route[]): Record<string, unknown> {
  const paths: Record<string, Record<string, unknown>> = {}
  for (const route of routes) {
    const path = route.path.replace(/:(\w+)/g, '{$1}')
    paths[path] = { ...paths[path], [route.method.toLowerCase()]: buildOperation(route) }
  }
  return {
    openapi: '3.1.0',
    info: { title: 'Tanagerusher administration API', version: '1' },
    security: [{ operator: [] }],
    paths,
    components: {
      securitySchemes: { operator: { type: 'http', scheme: 'basic' } },
      responses: { error: { description: 'Not done', content: { 'application/json': { schema: buildSchema(errorSchema, 'output') } } } }
    }
  }
}

function buildOperation ({ path, method, summary, access, body, answer, isConditional, isList }: Route): Record<string, unknown> {
  const content = answer === undefined
    ? {}
    : { content: { 'application/json': { schema: buildSchema(isList === true ? z.object({ items: z.array(answer), next: z.string().nullable() }) : answer, 'output') } } }
  return {
    summary,
    ...(access === 'anyone' ? { security: [] } : { 'x-access': access }),
    parameters: [
      ...[...path.matchAll(/:(\w+)/g)].map(([, name]) => ({ name, in: 'path', required: true, schema: { type: 'string' } })),
      ...(isList === true ? [createQueryParameter('limit', 'integer'), createQueryParameter('after', 'string')] : []),
      ...(method === 'GET' ? [] : [createQueryParameter('dryRun', 'boolean')]),
      ...(isConditional === true ? ['If-Match', 'If-None-Match'].map((name) => ({ name, in: 'header', schema: { type: 'string' } })) : [])
    ],
    ...(body === undefined ? {} : { requestBody: { content: { 'application/json': { schema: buildSchema(body, 'input') } } } }),
    responses: { 200: { description: 'Done', ...content }, default: { $ref: '#/components/responses/error' } }
  }
}

function createQueryParameter (name: string, type: string): Record<string, unknown> {
  return { name, in: 'query', schema: { type } }
}

function buildSchema (schema: z.ZodType, io: 'input' | 'output'): unknown {
  const { $schema, ...rest } = z.toJSONSchema(schema, { io, unrepresentable: 'any' })
  return rest
}

import { z } from 'zod'
import { CommandFailure } from '../client/command-failure.js'
import { readText } from '../client/read-text.js'
import { findResource } from './find-resource.js'
import { resources } from './resources.js'
import type { Document } from './document.js'

const documentSchema = z.looseObject({ kind: z.string(), name: z.string().min(1), value: z.record(z.string(), z.unknown()) })
const fileSchema = z.union([z.array(documentSchema), documentSchema.transform((document) => [document])])

/**
 * Reads objects from a JSON file, or from standard input for `-`. They are checked against their schemas, completed with defaults and
 * sorted in the order in which they have to be applied.
 */
export function readDocuments (file: string): Document[] {
  const parsed = fileSchema.safeParse(parseJson(file))
  if (!parsed.success) throw createFailure(file, parsed.error)
  const order = Object.keys(resources)
  return parsed.data.map(({ kind, name, value }) => checkDocument(kind, name, value)).sort((left, right) => order.indexOf(left.kind) - order.indexOf(right.kind))
}

function checkDocument (kind: string, name: string, valueBeforeDefaults: Record<string, unknown>): Document {
  const parsed = findResource(kind).schema.safeParse(valueBeforeDefaults)
  if (parsed.success) return { kind, name, value: parsed.data, valueBeforeDefaults }
  throw createFailure(`${kind}/${name}`, parsed.error)
}

function parseJson (file: string): unknown {
  try {
    return JSON.parse(readText(file))
  } catch (cause) {
    if (cause instanceof CommandFailure) throw cause
    throw new CommandFailure('object-invalid', `${file} is not JSON: ${String((cause as Error).message)}.`, 'Correct the file and repeat.')
  }
}

function createFailure (object: string, { issues }: z.ZodError): CommandFailure {
  return new CommandFailure('object-invalid', `${object} is not valid at ${issues[0]?.path.join('.') || '(document)'}: ${issues[0]?.message ?? 'invalid'}.`, 'Correct the field and repeat.')
}

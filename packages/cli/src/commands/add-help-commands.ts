import { errorsCatalogue } from '@tanagerusher/errors/catalogue/errors-catalogue'
import type { ErrorDefinition } from '@tanagerusher/errors/catalogue/error-definition'
import type { Command } from 'commander'
import { z } from 'zod'
import { CommandFailure } from '../client/command-failure.js'
import { formatTable } from '../output/format-table.js'
import { resources } from '../resources/resources.js'
import { formatCompletion } from './format-completion.js'

/** Adds the commands `explain` and `completion`, which work without a server. */
export function addHelpCommands (program: Command): void {
  program.command('explain <subject>').description('fields of a kind (organisation, group, entry) or an error kind or SQLSTATE')
    .action((subject: string) => { console.log(explain(subject)) })
  program.command('completion <shell>').description('completion script for bash, zsh or fish')
    .action((shell: string) => { console.log(formatCompletion(shell, program)) })
}

function explain (subject: string): string {
  const resource = resources[subject]
  if (resource !== undefined) return explainFields(resource.schema)
  const errors = (Object.entries(errorsCatalogue) as Array<[string, ErrorDefinition]>).filter(([kind, { sqlState }]) => kind === subject || sqlState === subject)
  if (errors.length === 0) throw new CommandFailure('usage', `There is nothing to explain about ${subject}.`, `Use one of ${Object.keys(resources).join(', ')}, an error kind or a SQLSTATE.`)
  return errors.map(([kind, { title, message, hint, sqlState, outcome }]) => `${kind} (SQLSTATE ${sqlState}): ${title}\n  message  ${message}\n  remedy   ${hint}\n  outcome  ${outcome}`).join('\n\n')
}

function explainFields (schema: z.ZodType): string {
  const { properties = {}, required = [] } = z.toJSONSchema(schema, { io: 'input' })
  return formatTable(Object.entries(properties).map(([field, property]) => {
    const { type, anyOf, enum: values, default: defaultValue, description } = property as Record<string, unknown>
    return {
      field,
      type: Array.isArray(values) ? values.join('|') : type ?? (anyOf as Array<{ type: string }> | undefined)?.map((option) => option.type).join('|'),
      required: required.includes(field) ? 'yes' : 'no',
      default: defaultValue,
      description
    }
  }))
}

import type { z } from 'zod'

/** Formats the first reason why a value does not match its schema. The text has names of fields and limits, and nothing of the value. */
export function formatSchemaIssue (error: z.ZodError): string {
  const [issue] = error.issues
  const path = issue?.path.join('.') ?? ''
  return path === '' ? issue?.message ?? 'invalid' : `${path}: ${issue?.message ?? 'invalid'}`
}

import type { Operator } from './operator.js'

export interface AuthenticatedOperator extends Pick<Operator, 'role' | 'organisation'> { name: string }

import type { RouteAnswer } from './route-answer.js'
import type { RouteRequest } from './route-request.js'

/** One page of items in the order of their names. `next` is the `after` of the next page; null at the end. */
export function listPage<Item extends { name: string }> (items: Item[], { limit, after }: RouteRequest<unknown>['query']): RouteAnswer {
  const sorted = [...items].sort((left, right) => left.name < right.name ? -1 : 1).filter(({ name }) => after === undefined || name > after)
  const page = sorted.slice(0, limit)
  return { body: { items: page, next: sorted.length > limit ? page.at(-1)?.name ?? null : null } }
}

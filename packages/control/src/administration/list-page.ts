import type { RouteResponse } from './route-response.js'
import type { RouteRequest } from './route-request.js'

/** Returns one page of the items, sorted by name. `next` is the value of `after` for the next page; null on the last page. */
export function listPage<Item extends { name: string }> (items: Item[], { limit, after }: RouteRequest<unknown>['query']): RouteResponse {
  const sorted = [...items].sort((left, right) => left.name < right.name ? -1 : 1).filter(({ name }) => after === undefined || name > after)
  const page = sorted.slice(0, limit)
  return { body: { items: page, next: sorted.length > limit ? page.at(-1)?.name ?? null : null } }
}

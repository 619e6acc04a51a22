import type { StoreObject } from './store-object.js'

export interface StoreChange { object: StoreObject, isRemoved: boolean }

import type { PlatformStore, StoredChange } from '@tanagerusher/coordination/common/platform-store'
import type { StoredObject } from '@tanagerusher/coordination/common/stored-object'

interface CreateOptions {
  /** Opens the client at the first call. */
  open: () => Promise<PlatformStore>
}

/** Store client that is loaded at its first call, because only the relay of a data centre calls the store regularly. */
export class LazyPlatformStore implements PlatformStore {
  readonly #open: () => Promise<PlatformStore>
  #store: Promise<PlatformStore> | undefined

  private constructor ({ open }: CreateOptions) {
    this.#open = open
  }

  static create (options: CreateOptions): LazyPlatformStore {
    return new LazyPlatformStore(options)
  }

  async read (kind: string, name: string): Promise<StoredObject | null> {
    return await (await this.#load()).read(kind, name)
  }

  async list (kinds: string[]): Promise<{ version: number, objects: StoredObject[] }> {
    return await (await this.#load()).list(kinds)
  }

  async write (kind: string, name: string, value: unknown, expectedVersion: number): Promise<StoredObject> {
    return await (await this.#load()).write(kind, name, value, expectedVersion)
  }

  async remove (kind: string, name: string, expectedVersion: number): Promise<void> {
    await (await this.#load()).remove(kind, name, expectedVersion)
  }

  async watch (kinds: string[], afterVersion: number, timeoutMs: number): Promise<{ version: number, changes: StoredChange[] }> {
    return await (await this.#load()).watch(kinds, afterVersion, timeoutMs)
  }

  async listHosts (): Promise<Array<{ host: string, address: string, port: number, leaving: boolean }>> {
    return await (await this.#load()).listHosts()
  }

  async #load (): Promise<PlatformStore> {
    this.#store ??= this.#open()
    return await this.#store
  }
}

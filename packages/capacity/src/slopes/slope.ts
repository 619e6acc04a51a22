/** Cost of one kind of state at one size. */
export interface Slope {
  name: string
  size: number
  heapBytesPerItem: number
  cpuUsPerOperation: number
}

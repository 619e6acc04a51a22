export interface FailoverMechanism {
  name: string
  role: 'product' | 'baseline'
  promotion: 'majority' | 'store-lease'
  acknowledgement: 'majority' | 'primary'
}

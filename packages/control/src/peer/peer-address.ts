export interface PeerAddress { host: string, port: number }

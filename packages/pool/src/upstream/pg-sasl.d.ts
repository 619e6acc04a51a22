declare module 'pg/lib/crypto/sasl.js' {
  namespace sasl {
    interface Session {
      mechanism: string
      response: string
    }
    function startSession (mechanisms: string[]): Session
    function continueSession (session: Session, password: string, serverData: string): Promise<void>
    function finalizeSession (session: Session, serverData: string): void
  }
  export default sasl
}

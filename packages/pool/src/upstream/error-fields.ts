export interface ErrorFields {
  code: string
  text: string
}

/** Value of a column. */
export type Value = string | number | boolean | null

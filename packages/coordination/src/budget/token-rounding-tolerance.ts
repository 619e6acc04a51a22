/** Sums of fractions such as 1/3 fall short of a whole token by rounding; a token counts as whole within this tolerance. */
export const TOKEN_ROUNDING_TOLERANCE = 1e-9

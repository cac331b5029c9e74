/** An unchanged digest is sent again after this time, with the digest that is due next. */
export const UNCHANGED_RESEND_MS = 250;

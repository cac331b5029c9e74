/** What a request holds is taken to be this share of a target's memory until requests have shown otherwise. */
export const PRIOR_SHARE = 0.05;

/** The most of a target's memory that is left free; requests up to the rest fit into a target that is empty. */
export const MAX_RESERVED_SHARE = 0.4;

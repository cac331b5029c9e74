declare const brand: unique symbol;

/** A nominal type: a primitive that cannot be mixed up with another of the same base type. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name };

declare const brand: unique symbol;

/** A primitive that carries its meaning in its type. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name };

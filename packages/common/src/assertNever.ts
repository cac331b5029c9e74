/** Closes an exhaustive switch; throws when a value outside its type arrives. */
export const assertNever = (value: never): never => {
  throw new TypeError(`unexpected value: ${JSON.stringify(value)}`);
};

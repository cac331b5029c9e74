/** Default branch of an exhaustive switch; throws if the value is outside of its declared type at run time. */
export const assertNever = (value: never): never => {
  throw new TypeError(`unexpected value: ${JSON.stringify(value)}`);
};

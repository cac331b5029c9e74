/** Returns an object with one field, or an empty object if the value is undefined; meant to be spread into another. */
export const toOptionalField = <Name extends string, Value>(
  name: Name,
  value: Value | undefined,
): Partial<Record<Name, Value>> =>
  (value === undefined ? {} : { [name]: value }) as Partial<Record<Name, Value>>;

/** An object with one field, or with none where there is no value. */
export const defineField = <Name extends string, Value>(
  name: Name,
  value: Value | undefined,
): Partial<Record<Name, Value>> =>
  (value === undefined ? {} : { [name]: value }) as Partial<Record<Name, Value>>;

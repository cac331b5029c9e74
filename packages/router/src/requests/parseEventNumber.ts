const WHOLE_NUMBER = /^(?:0|[1-9]\d{0,14})$/;

/** The number that an event's id is; undefined if it is none, or lower than the first number of a stream. */
export const parseEventNumber = (
  id: string | undefined,
  firstNumber: number,
): number | undefined => {
  const number = id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;
  return number === undefined || number < firstNumber ? undefined : number;
};

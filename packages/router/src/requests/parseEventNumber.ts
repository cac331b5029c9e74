const WHOLE_NUMBER = /^(?:0|[1-9]\d{0,14})$/;

/** The number that an event's id is; undefined if it is none. */
export const parseEventNumber = (id: string | undefined): number | undefined =>
  id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;

const EVENT_COUNT = 6;

/** Returns the events of the complete stream that a target sends for a request. */
export const createEvents = (id: string): readonly string[] =>
  Array.from({ length: EVENT_COUNT }, (_, index) => `id: ${index + 1}\ndata: ${id}\n\n`);

/** Each member of an event union without the timestamps that the event loop adds. */
export type WithoutTimestamps<Event> = Event extends unknown
  ? Omit<Event, 'nowMs' | 'wallMs'>
  : never;

/** Each member of an event union without the times that the loop puts on it. */
export type WithoutStamp<Event> = Event extends unknown ? Omit<Event, 'nowMs' | 'wallMs'> : never;

import type { LogFields } from '@parsleyhall/routing';
import type { LOG_FIELDS } from './logFields.js';
import type { PROCESS_LOG_EVENTS } from './processLogEvents.js';

type LogEvents = typeof PROCESS_LOG_EVENTS;

/** A log event of the process, with exactly the fields that `PROCESS_LOG_EVENTS` lists for it. */
export type ProcessLogEvent = {
  readonly [Name in keyof LogEvents]: {
    readonly name: Name;
    readonly fields: LogFields<typeof LOG_FIELDS, LogEvents[Name]>;
  };
}[keyof LogEvents];

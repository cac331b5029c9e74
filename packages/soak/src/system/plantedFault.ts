/**
 * A fault that a run has on purpose, to show that a check finds it: entries that are told to trust the poison parts,
 * targets that do not state the limit by which they are judged, entries that are killed where a graceful shutdown is due,
 * events that look like the next one and that the targets do not record, responses without framing that end in order
 * before their end, or resumable streams with an event behind their last, with one in the place of a sound one, or without
 * their last.
 */
export type PlantedFault =
  | 'trustedParts'
  | 'unstatedLimits'
  | 'killedStops'
  | 'unrecordedLookAlike'
  | 'orderlyTruncation'
  | 'eventBehindLast'
  | 'replacedEvent'
  | 'earlyEnd';

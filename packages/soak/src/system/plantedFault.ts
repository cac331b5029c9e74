/**
 * A fault that a run has on purpose, to show that a check finds it: entries that are told to trust the poison parts,
 * targets that do not state the limit by which they are judged, entries that are killed where a graceful shutdown is due,
 * garbage that looks like an event, or responses without framing that end in order before their end.
 */
export type PlantedFault =
  'trustedParts' | 'unstatedLimits' | 'killedStops' | 'garbageAsEvent' | 'orderlyTruncation';

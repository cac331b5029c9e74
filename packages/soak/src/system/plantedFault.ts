/**
 * A fault that a run has on purpose, to show that a check finds it: entries that are told to trust the poison parts, or
 * targets that do not state the limit by which they are judged.
 */
export type PlantedFault = 'trustedParts' | 'unstatedLimits';

import type { PromptFaults } from './promptFaults.js';
import type { Quarantine } from './quarantine.js';

/** The parts of a quarantine that no target has answered since they were suspected. */
export const getSuspectParts = (
  { parts, suspectedSinceMs }: Quarantine,
  { suspicions, answeredAtMs }: PromptFaults,
): readonly string[] =>
  parts.filter((part) => {
    const clearedAtMs = suspicions.get(part)?.clearedAtMs ?? -Infinity;
    const answeredHereAtMs = answeredAtMs.get(part) ?? -Infinity;
    return Math.max(clearedAtMs, answeredHereAtMs) <= suspectedSinceMs;
  });

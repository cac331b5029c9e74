import type { RoutingState } from '../routingState.js';
import type { Quarantine } from './quarantine.js';

/** The quarantine that holds for a prompt with these shared parts; undefined if none does. */
export const findQuarantine = (
  { promptFaults: { quarantines }, settings }: RoutingState,
  promptParts: readonly string[],
): Quarantine | undefined =>
  quarantines.isEmpty() || promptParts.length === 0
    ? undefined
    : quarantines.find(({ parts }) => {
        const distrusted = parts.filter((part) => !settings.trustedPromptParts.includes(part));
        return distrusted.length > 0 && distrusted.every((part) => promptParts.includes(part));
      });

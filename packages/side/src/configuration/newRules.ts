import type { Tier } from '@parsleyhall/common';
import { getPresetInForce } from '@parsleyhall/configuration';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { Rules } from './rules.js';

const DEFAULT_HORIZON_MS = 60_000;

/** The rules of a configuration. */
export const newRules = (configuration: ConfigurationState): Rules => {
  const preset = getPresetInForce(configuration);
  const getObjective = (tier: Tier) => preset?.tiers.find((objective) => objective.tier === tier);
  const getHorizonMs = (tier: Tier): number => getObjective(tier)?.deadlineMs ?? DEFAULT_HORIZON_MS;
  const teams = configuration.document?.teams ?? [];
  return {
    hasPreset: preset !== undefined,
    lowestTierAdmitted: preset?.lowestTierAdmitted ?? 4,
    tierOneReservedShare: preset?.tierOneReservedShare ?? 0,
    firstTokenBoundMs: getObjective(1)?.firstTokenMs,
    betweenTokensBoundMs: getObjective(1)?.betweenTokensMs,
    horizonsMs: [getHorizonMs(1), getHorizonMs(2), getHorizonMs(3), getHorizonMs(4)],
    weights: new Map(teams.map(({ name, weight }) => [name, weight])),
  };
};

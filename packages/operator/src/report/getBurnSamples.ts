import type { ConfigurationDocument, Preset } from '@parsleyhall/configuration';
import type { ReportRecord } from '@parsleyhall/clients';
import type { BurnSample } from './burnSample.js';

// A record whose preset has since been removed is evaluated against the preset in force.
const findPreset = (
  document: ConfigurationDocument,
  name: string,
  presetInForce: string | undefined,
): Preset | undefined =>
  document.presets.find((preset) => preset.name === name) ??
  document.presets.find((preset) => preset.name === presetInForce);

/** Joins the entries' report records with the objectives and prices of the presets that were in force. */
export const getBurnSamples = (
  records: readonly ReportRecord[],
  document: ConfigurationDocument,
  presetInForce: string | undefined,
): readonly BurnSample[] =>
  records.flatMap((record) => {
    const preset = findPreset(document, record.presetInForce, presetInForce);
    return record.rows.map((row) => ({
      row,
      toMs: record.toMs,
      objective: preset?.tiers.find(({ tier }) => tier === row.tier)?.objective ?? 0,
      pricePerMillionPrefillTokens: preset?.pricePerMillionPrefillTokens ?? 0,
    }));
  });

import type { ConfigurationState } from '@parsleyhall/configuration';
import type { EntrySettings } from '@parsleyhall/entry';
import type { ReportRecord } from '@parsleyhall/clients';

/** Returns the fields of a burn report record that name its entry and the configuration active there. */
export const getReportMetadata = (
  { entry, incarnation, dataCentre }: EntrySettings,
  configuration: ConfigurationState,
): Pick<
  ReportRecord,
  'entry' | 'incarnation' | 'dataCentre' | 'configurationVersion' | 'presetInForce'
> => ({
  entry,
  incarnation,
  dataCentre,
  configurationVersion: configuration.version,
  presetInForce: configuration.presetInForce ?? '',
});

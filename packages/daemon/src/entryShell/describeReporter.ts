import type { ConfigurationState } from '@parsleyhall/configuration';
import type { EntrySettings } from '@parsleyhall/entry';
import type { ReportRecord } from '@parsleyhall/clients';

/** Who writes a summary for the burn report, and under which configuration. */
export const describeReporter = (
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

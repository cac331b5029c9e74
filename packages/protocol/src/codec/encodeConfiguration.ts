import type { ConfigurationState } from '@parsleyhall/configuration';

/** A configuration state as JSON in UTF-8. */
export const encodeConfiguration = (configuration: ConfigurationState): Uint8Array =>
  new TextEncoder().encode(JSON.stringify(configuration));

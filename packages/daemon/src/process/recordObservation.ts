import type { Metrics } from '@parsleyhall/metrics';
import { toMetricName } from '@parsleyhall/metrics';
import type { ProcessLogger } from './processLogger.js';

const INFO_LEVEL_EVENTS = new Set(['requestEnded']);

/** Logs and counts an observation that a reducer reported. */
export const recordObservation = (
  { metrics, logger }: { readonly metrics: Metrics; readonly logger: ProcessLogger },
  name: string,
  fields: Readonly<Record<string, string | number | boolean>>,
): void => {
  metrics.increment(`${toMetricName(name)}_total`);
  const fieldsWithEvent = { event: name, ...fields };
  if (INFO_LEVEL_EVENTS.has(name)) {
    logger.info(fieldsWithEvent, name);
    return;
  }
  logger.debug(fieldsWithEvent, name);
};

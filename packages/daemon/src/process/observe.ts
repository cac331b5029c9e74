import type { Metrics } from '@parsleyhall/metrics';
import { toMetricName } from '@parsleyhall/metrics';
import type { ProcessLogger } from './processLogger.js';

const INFO_EVENTS = new Set(['requestEnded']);

/** Logs and counts something that a reducer saw. */
export const observe = (
  { metrics, logger }: { readonly metrics: Metrics; readonly logger: ProcessLogger },
  name: string,
  fields: Readonly<Record<string, string | number | boolean>>,
): void => {
  metrics.increment(`${toMetricName(name)}_total`);
  const line = { event: name, ...fields };
  if (INFO_EVENTS.has(name)) {
    logger.info(line, name);
    return;
  }
  logger.debug(line, name);
};

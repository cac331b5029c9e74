import type { ConfigurationState } from '@parsleyhall/configuration';
import type { CallerRegistry } from '../callers/callerRegistry.js';
import type { IdempotencyKeyLog } from '../idempotencyKeys/idempotencyKeyLog.js';
import type { Metrics } from '@parsleyhall/metrics';
import type { ProcessLogger } from '../process/processLogger.js';
import type { SideLinks } from './sideLinks.js';

/** What the effects of an entry's reducer act on. */
export interface EntryEffectContext {
  readonly callers: CallerRegistry;
  readonly links: SideLinks;
  readonly keyLog: IdempotencyKeyLog;
  readonly metrics: Metrics;
  readonly logger: ProcessLogger;
  readonly applyConfiguration: (configuration: ConfigurationState) => void;
  readonly finishStop: () => void;
}

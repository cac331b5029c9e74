import type { ConfigurationState } from '@parsleyhall/configuration';
import type { CallerRegistry } from '../callers/callerRegistry.js';
import type { KeyLog } from '../keyLog/keyLog.js';
import type { Metrics } from '@parsleyhall/metrics';
import type { ProcessLogger } from '../process/processLogger.js';
import type { SideLinks } from './sideLinks.js';

/** The parts of an entry that effects act on. */
export interface EntryParts {
  readonly callers: CallerRegistry;
  readonly links: SideLinks;
  readonly keyLog: KeyLog;
  readonly metrics: Metrics;
  readonly logger: ProcessLogger;
  readonly putInForce: (configuration: ConfigurationState) => void;
  readonly finishStop: () => void;
}

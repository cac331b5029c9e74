import type { ConfigurationState } from '@parsleyhall/configuration';
import type { LinkServer } from '../link/linkServer.js';
import type { Metrics } from '@parsleyhall/metrics';
import type { ProcessLogger } from '../process/processLogger.js';
import type { TargetClient } from '../target/targetClient.js';

/** What the effects of a side process's reducer act on. */
export interface SideEffectContext {
  readonly link: LinkServer;
  readonly target: TargetClient;
  readonly metrics: Metrics;
  readonly logger: ProcessLogger;
  readonly applyConfiguration: (configuration: ConfigurationState) => void;
  readonly finishStop: () => void;
}

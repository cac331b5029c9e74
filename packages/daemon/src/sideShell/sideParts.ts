import type { ConfigurationState } from '@parsleyhall/configuration';
import type { LinkServer } from '../link/linkServer.js';
import type { Metrics } from '@parsleyhall/metrics';
import type { ProcessLogger } from '../process/processLogger.js';
import type { TargetClient } from '../target/targetClient.js';

/** The parts of a side process that effects act on. */
export interface SideParts {
  readonly link: LinkServer;
  readonly target: TargetClient;
  readonly metrics: Metrics;
  readonly logger: ProcessLogger;
  readonly putInForce: (configuration: ConfigurationState) => void;
  readonly finishStop: () => void;
}

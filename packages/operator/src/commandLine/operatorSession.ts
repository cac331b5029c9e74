import type { HostListClient, LogClient } from '@parsleyhall/clients';
import type { OperatorSettings } from '../settings/operatorSettings.js';
import type { OperatorEnvironment } from './operatorEnvironment.js';

/** Clients and settings of a command that talks to the platform. */
export interface OperatorSession {
  readonly environment: OperatorEnvironment;
  readonly settings: OperatorSettings;
  readonly log: LogClient;
  readonly hostList: HostListClient;
}

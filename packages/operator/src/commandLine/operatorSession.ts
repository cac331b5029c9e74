import type { HostListClient, LogClient } from '@parsleyhall/clients';
import type { OperatorSettings } from '../settings/operatorSettings.js';
import type { OperatorWorld } from './operatorWorld.js';

/** What a command that talks to the platform works with. */
export interface OperatorSession {
  readonly world: OperatorWorld;
  readonly settings: OperatorSettings;
  readonly log: LogClient;
  readonly hostList: HostListClient;
}

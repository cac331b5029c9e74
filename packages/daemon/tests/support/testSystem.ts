import type { StandIn } from '@parsleyhall/stand-ins';
import type { DaemonProcess } from './daemonProcess.js';
import type { TestPlatform } from './testPlatform.js';

/** A small complete system: the platform, one engine, one service, their side processes and an entry. */
export interface TestSystem extends AsyncDisposable {
  readonly platform: TestPlatform;
  readonly engine: StandIn;
  readonly service: StandIn;
  readonly engineSide: DaemonProcess;
  readonly serviceSide: DaemonProcess;
  readonly entry: DaemonProcess;
  /** Where callers reach the entry. */
  readonly url: string;
}

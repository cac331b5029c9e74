import type { EntryEvent } from '@parsleyhall/entry';
import type { SideEvent } from '@parsleyhall/side';
import type { CallersFake } from './callersFake.js';
import type { HostListFake } from './hostListFake.js';
import type { Link } from './link.js';
import type { LogFake } from './logFake.js';
import type { OperatorFake } from './operatorFake.js';
import type { ProcessShell } from './processShell.js';
import type { Simulation } from './simulation.js';
import type { TargetFake } from './targetFake.js';

/** What a schedule's actions can reach. */
export interface WorldControls {
  readonly simulation: Simulation;
  readonly log: LogFake;
  readonly hostList: HostListFake;
  readonly entries: readonly ProcessShell<EntryEvent>[];
  readonly sides: readonly ProcessShell<SideEvent>[];
  readonly targets: readonly TargetFake[];
  readonly operators: readonly OperatorFake[];
  readonly callers: CallersFake;
  readonly getLink: (entry: number, side: number) => Link;
  /** Ends a process without a word; it is replaced after a time. */
  readonly killProcess: (
    process: ProcessShell<EntryEvent> | ProcessShell<SideEvent>,
    replacedAfterMs: number,
  ) => void;
  readonly pauseProcess: (
    process: ProcessShell<EntryEvent> | ProcessShell<SideEvent>,
    options: { readonly forMs: number; readonly holdsEffects: boolean },
  ) => void;
  /** Lists a side process's host as leaving, or as live again. */
  readonly listHost: (side: number, isLeaving: boolean) => void;
  /** Asks for a planned stop. */
  readonly stopEntry: (index: number) => void;
  readonly stopSide: (index: number) => void;
}

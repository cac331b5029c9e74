import type { Socket } from 'node:net';

/** Knows how long what a process reads may have lain unread in front of it. All moments are milliseconds of the steady clock. */
export interface ReadingWatch {
  /** To be called with each connection as it is accepted. */
  readonly noteAccepted: (socket: Socket) => void;
  /** To be called with each tick. */
  readonly noteTick: () => void;
  /** The earliest moment at which what is read now for the first time on the connection may have come. */
  readonly getUnreadSinceMs: (socket: Socket) => number;
  /** Whether connections may wait that this process has not accepted yet. */
  readonly hasBacklog: () => boolean;
}

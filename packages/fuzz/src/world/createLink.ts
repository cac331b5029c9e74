import type { EntryId, Incarnation, SideId } from '@parsleyhall/common';
import type { EntryEvent } from '@parsleyhall/entry';
import type { SideEvent } from '@parsleyhall/side';
import type { Link } from './link.js';
import type { ProcessShell } from './processShell.js';
import type { Simulation } from './simulation.js';

const TRAVEL_MS = 15;
const CONNECT_MS = 10;
const CONNECT_AGAIN_MS = 50;
const LATE_MS = 300;
/** A stream that is cut often has to carry something in between. */
const DISTURBED_ONE_IN = [3, 3, 3, 3, 3, 8] as const;

interface Connection {
  isOpen: boolean;
  isKnownToSide: boolean;
  readonly sideIncarnation: Incarnation | undefined;
  toSideAtMs: number;
  toEntryAtMs: number;
}

/** Creates the stream between two processes: in order, cut at any point, opened again while wanted. */
export const createLink = ({
  simulation,
  getDelay,
  entryId,
  sideId,
  entry,
  side,
}: {
  readonly simulation: Simulation;
  readonly getDelay: (bound: number) => number;
  readonly entryId: EntryId;
  readonly sideId: SideId;
  readonly entry: ProcessShell<EntryEvent>;
  readonly side: ProcessShell<SideEvent>;
}): Link => {
  let isWanted = false;
  let connection: Connection | undefined;
  let blockedUntilMs = 0;
  let disturbedUntilMs = 0;
  let way = 0;

  const tellEntry = (type: 'sideConnected' | 'sideDisconnected'): void => {
    entry.getLife()?.deliver((clock) => ({ ...clock, type, side: sideId }));
  };
  const tellSide = (type: 'entryConnected' | 'entryDisconnected'): void => {
    side.getLife()?.deliver(({ nowMs }) => ({ nowMs, type, entry: entryId }));
  };
  const canConnect = (): boolean =>
    simulation.getNowMs() >= blockedUntilMs &&
    entry.getLife() !== undefined &&
    side.getLife() !== undefined;
  const forgetAtSide = (old: Connection): void => {
    const isSameLife = side.getLife()?.incarnation === old.sideIncarnation;
    if (old.isKnownToSide && isSameLife) {
      old.isKnownToSide = false;
      tellSide('entryDisconnected');
    }
  };
  let lastConnection: Connection | undefined;
  const connect = (): void => {
    if (!isWanted || connection !== undefined) {
      return;
    }
    if (!canConnect()) {
      simulation.schedule(CONNECT_AGAIN_MS, connect);
      return;
    }
    if (lastConnection !== undefined) {
      forgetAtSide(lastConnection);
    }
    const nowMs = simulation.getNowMs();
    connection = {
      isOpen: true,
      isKnownToSide: true,
      sideIncarnation: side.getLife()?.incarnation,
      toSideAtMs: nowMs,
      toEntryAtMs: nowMs,
    };
    lastConnection = connection;
    tellSide('entryConnected');
    tellEntry('sideConnected');
  };
  const connectSoon = (): void => {
    simulation.schedule(1 + getDelay(CONNECT_MS), connect);
  };
  const drop = (isSilent: boolean): void => {
    const dropped = connection;
    if (dropped === undefined) {
      return;
    }
    dropped.isOpen = false;
    connection = undefined;
    if (isSilent) {
      return;
    }
    simulation.schedule(1 + getDelay(TRAVEL_MS), () => {
      forgetAtSide(dropped);
    });
  };
  const cut: Link['cut'] = ({ forMs, isSilent }) => {
    blockedUntilMs = Math.max(blockedUntilMs, simulation.getNowMs() + forMs);
    const wasConnected = connection !== undefined;
    drop(isSilent);
    if (wasConnected && !isSilent) {
      simulation.schedule(1 + getDelay(TRAVEL_MS), () => {
        tellEntry('sideDisconnected');
        connectSoon();
      });
    }
  };
  const travel = (sender: Connection, toSide: boolean, deliver: () => void): void => {
    const nowMs = simulation.getNowMs();
    const isDisturbed = nowMs < disturbedUntilMs;
    const lastAtMs = toSide ? sender.toSideAtMs : sender.toEntryAtMs;
    const inOrderAtMs = Math.max(lastAtMs, nowMs + 1 + getDelay(TRAVEL_MS));
    const arrive = (outlivesStream: boolean) => (): void => {
      if (sender.isOpen || (outlivesStream && connection !== undefined)) {
        deliver();
      }
    };
    const chosen = Math.min(way, DISTURBED_ONE_IN.length - 1);
    const isHit = isDisturbed && getDelay(DISTURBED_ONE_IN[chosen] ?? 1) === 0;
    const disturbance = isHit ? 1 + chosen : 0;
    if (disturbance === 1) {
      simulation.schedule(inOrderAtMs - nowMs + getDelay(LATE_MS), arrive(false));
    }
    if (disturbance === 2 || disturbance === 3) {
      simulation.schedule(1 + getDelay(LATE_MS), arrive(disturbance === 3));
      return;
    }
    if (disturbance === 6) {
      simulation.schedule(1 + getDelay(LATE_MS), arrive(true));
      cut({ forMs: 0, isSilent: false });
      return;
    }
    if (disturbance === 4) {
      return;
    }
    if (disturbance === 5) {
      simulation.schedule(1 + getDelay(LATE_MS), arrive(true));
    }
    if (toSide) {
      sender.toSideAtMs = inOrderAtMs;
    } else {
      sender.toEntryAtMs = inOrderAtMs;
    }
    simulation.schedule(inOrderAtMs - nowMs, arrive(false));
  };
  return {
    open: () => {
      isWanted = true;
      connectSoon();
    },
    close: () => {
      isWanted = false;
      drop(false);
    },
    reconnect: () => {
      drop(false);
      tellEntry('sideDisconnected');
      connectSoon();
    },
    sendToSide: (message) => {
      if (connection !== undefined) {
        travel(connection, true, () => {
          side.getLife()?.deliver(({ nowMs }) => ({
            nowMs,
            type: 'entryMessage',
            entry: entryId,
            message,
          }));
        });
      }
    },
    sendToEntry: (message) => {
      if (connection !== undefined) {
        travel(connection, false, () => {
          entry.getLife()?.deliver((clock) => ({
            ...clock,
            type: 'sideMessage',
            side: sideId,
            message,
          }));
        });
      }
    },
    cut,
    disturb: ({ forMs, way: chosen }) => {
      disturbedUntilMs = simulation.getNowMs() + forMs;
      way = chosen;
    },
  };
};

import type { Socket } from 'node:net';
import { createGrowthGate } from './createGrowthGate.js';
import type { HeldMemory } from './heldMemory.js';
import type { MemoryAccount } from './memoryAccount.js';
import type { MemoryBudget } from './memoryBudget.js';
import type { MemoryKind } from './memoryKind.js';
import { selectConnectionsToClose } from './selectConnectionsToClose.js';

/** Part of the limit that is left free after connections were closed for lack of memory, so that this happens rarely. */
const RESERVE_SHARE = 1 / 8;
/** Part of the room for requests that a single one may take, so that smaller ones still find room behind large ones. */
const MAX_SHARE_OF_ROOM = 1 / 2;
/** Part of the limit that unread responses of one connection may take. */
const CONNECTION_SHARE = 1 / 8;

const SERVING_KINDS: ReadonlySet<MemoryKind> = new Set(['bufferedResponse', 'request']);

/** Whether a change of the bytes held shows that the caller sends or reads. */
const isProgress = (kind: MemoryKind, addedBytes: number): boolean =>
  kind === 'body' ? addedBytes > 0 : kind === 'unreadResponse' && addedBytes < 0;

/** Bytes that are held for a request that was passed to the scheduler, and for its response while that is buffered. */
const countRunningBytes = ({ isServing, servingBytes }: Holder): number =>
  isServing ? servingBytes : 0;

/** Bytes of the response to such a request that its caller has not read. */
const countUnreadBytes = ({ isServing, bytesByKind }: Holder): number =>
  isServing ? (bytesByKind.get('unreadResponse') ?? 0) : 0;

const CLOSED_ACCOUNT: MemoryAccount = {
  hold: () => undefined,
  admit: () => false,
  mayGrow: () => true,
  endGrowth: () => undefined,
  setServing: () => undefined,
  isServing: () => false,
  setRelease: () => undefined,
  isOpen: () => false,
  close: () => undefined,
};

interface Holder {
  readonly bytesByKind: Map<MemoryKind, number>;
  readonly closeConnection: (held: { readonly isServing: boolean; readonly bytes: number }) => void;
  callerBytes: number;
  servingBytes: number;
  isServing: boolean;
  callerSinceMs: number;
  servingSinceMs: number;
  release: () => void;
}

/** Creates a budget without connections. The limit may change at any time. */
export const createMemoryBudget = ({
  getLimitBytes,
  getNowMs,
}: {
  readonly getLimitBytes: () => number;
  readonly getNowMs: () => number;
}): MemoryBudget => {
  const holders = new Map<Socket, Holder>();
  const accounts = new WeakMap<Socket, MemoryAccount>();
  let heldBytes = 0;
  /** Sums over all connections. */
  let runningBytes = 0;
  let unreadBytes = 0;

  /** What requests that are being served may take before their responses stop growing. */
  const getServedLimitBytes = (): number => getLimitBytes() * (1 - RESERVE_SHARE);
  const isShort = (): boolean => runningBytes + unreadBytes > getServedLimitBytes();
  const growthGate = createGrowthGate<Holder>(isShort);

  /** Unread responses give way, so they take no room. */
  const hasRoomFor = (bytes: number): boolean =>
    runningBytes === 0 || bytes <= (getServedLimitBytes() - runningBytes) * MAX_SHARE_OF_ROOM;

  const addToSums = (holder: Holder): void => {
    runningBytes += countRunningBytes(holder);
    unreadBytes += countUnreadBytes(holder);
  };

  const removeFromSums = (holder: Holder): void => {
    runningBytes -= countRunningBytes(holder);
    unreadBytes -= countUnreadBytes(holder);
  };

  const setServing = (holder: Holder, isServing: boolean): void => {
    removeFromSums(holder);
    holder.isServing = isServing;
    addToSums(holder);
    if (!isServing) {
      growthGate.leave(holder);
    }
  };

  const remove = (socket: Socket, holder: Holder): void => {
    if (holders.get(socket) === holder) {
      holders.delete(socket);
      heldBytes -= holder.callerBytes + holder.servingBytes;
      removeFromSums(holder);
      growthGate.leave(holder);
      holder.release();
    }
  };

  const relieve = (): void => {
    const nowMs = getNowMs();
    const limitBytes = getLimitBytes();
    const connections = [...holders].map(
      ([socket, holder]): HeldMemory & { readonly socket: Socket; readonly holder: Holder } => ({
        socket,
        holder,
        isServing: holder.isServing,
        callerBytes: holder.callerBytes,
        servingBytes: holder.servingBytes,
        callerAgeMs: nowMs - holder.callerSinceMs,
        servingAgeMs: nowMs - holder.servingSinceMs,
      }),
    );
    const goalBytes = limitBytes * (1 - RESERVE_SHARE);
    const selected = selectConnectionsToClose(connections, limitBytes, goalBytes);
    selected.forEach(({ socket, holder }) => {
      remove(socket, holder);
    });
    selected.forEach(({ holder: { closeConnection, isServing }, callerBytes, servingBytes }) => {
      closeConnection({ isServing, bytes: callerBytes + servingBytes });
    });
  };

  const hold = (holder: Holder, kind: MemoryKind, bytes: number): void => {
    const addedBytes = bytes - (holder.bytesByKind.get(kind) ?? 0);
    if (addedBytes === 0) {
      return;
    }
    removeFromSums(holder);
    holder.bytesByKind.set(kind, bytes);
    if (SERVING_KINDS.has(kind)) {
      if (holder.servingBytes === 0) {
        holder.servingSinceMs = getNowMs();
      }
      holder.servingBytes += addedBytes;
    } else {
      if (holder.callerBytes === 0 || isProgress(kind, addedBytes)) {
        holder.callerSinceMs = getNowMs();
      }
      holder.callerBytes += addedBytes;
    }
    heldBytes += addedBytes;
    addToSums(holder);
    if (addedBytes < 0) {
      growthGate.notifyReleased();
    }
    if (addedBytes > 0 && heldBytes > getLimitBytes()) {
      relieve();
    }
  };

  return {
    open: (socket, closeConnection) => {
      const holder: Holder = {
        bytesByKind: new Map(),
        closeConnection,
        callerBytes: 0,
        servingBytes: 0,
        isServing: false,
        callerSinceMs: getNowMs(),
        servingSinceMs: getNowMs(),
        release: () => undefined,
      };
      holders.set(socket, holder);
      const isOpen = (): boolean => holders.get(socket) === holder;
      const account: MemoryAccount = {
        hold: (kind, bytes) => {
          if (isOpen()) {
            hold(holder, kind, bytes);
          }
        },
        admit: (bytes) => {
          if (!isOpen() || !hasRoomFor(bytes)) {
            return false;
          }
          hold(holder, 'body', 0);
          hold(holder, 'head', 0);
          hold(holder, 'request', bytes);
          // The connection itself may have been closed for its bytes.
          if (!isOpen()) {
            return false;
          }
          setServing(holder, true);
          return true;
        },
        endGrowth: () => {
          growthGate.leave(holder);
        },
        mayGrow: (resume) => !isOpen() || growthGate.mayGrow(holder, resume),
        setServing: (isServing) => {
          if (isOpen()) {
            setServing(holder, isServing);
          }
        },
        isServing: () => holder.isServing,
        setRelease: (release) => {
          holder.release = release;
        },
        isOpen,
        close: () => {
          remove(socket, holder);
        },
      };
      accounts.set(socket, account);
      return account;
    },
    getAccount: (socket) => accounts.get(socket) ?? CLOSED_ACCOUNT,
    countHeldBytes: () => heldBytes,
    getLimitBytes,
    isShort,
    getConnectionShareBytes: () => getLimitBytes() * CONNECTION_SHARE,
  };
};

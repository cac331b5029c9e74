/** Frames of entries in other data centres that this entry relays to its own. */
export interface RelayQueue extends Disposable {
  /** Queues an encoded frame; the queue is sent soon after. */
  readonly add: (frame: Uint8Array) => void;
  /** Takes the queued frames, to be sent along with an own frame of this size, in bytes. */
  readonly takeForOwnDatagram: (ownBytes: number) => readonly Uint8Array[];
}

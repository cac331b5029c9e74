import type { BinaryReader } from '@bufbuild/protobuf/wire';
import type { Frame } from './frame.js';

/** A datagram that is split into its frames. */
export interface ReceivedDatagram {
  /** Reads the contents of all frames, since a reader of its own for each costs more than the reading. */
  readonly reader: BinaryReader;
  readonly frames: readonly Frame[];
}

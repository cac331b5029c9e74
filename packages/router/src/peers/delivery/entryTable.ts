import type { Delivery } from '../codec/delivery.js';
import type { FrameContent } from '../codec/frameContent.js';
import type { FrameHeader } from '../codec/frameHeader.js';
import type { OtherEntry } from './otherEntry.js';
import type { ReceptionReport } from './receptionReport.js';

/** The other entries from which this one has received frames. */
export interface EntryTable {
  readonly byIp: ReadonlyMap<string, OtherEntry>;
  /** Whether the frame is newer than all that were recorded of its sender. */
  readonly isNew: (header: FrameHeader) => boolean;
  /** Records that a frame has arrived; one of an earlier incarnation is ignored. */
  readonly recordFrame: (header: FrameHeader, delivery: Delivery) => void;
  /**
   * Records what an entry states about its exchange of digests; returns whether it now asks for direct sends and did not
   * before.
   */
  readonly recordContent: (host: string, content: FrameContent) => boolean;
  /**
   * Evaluates how frames arrive, to be called every `JUDGE_INTERVAL_MS`; returns whether this entry now needs direct sends
   * from all others and did not before.
   */
  readonly judge: () => boolean;
  /** What this entry states about its reception, as last judged. */
  readonly getReceptionReport: () => ReceptionReport;
  /** How long an entry may be silent, in milliseconds. */
  readonly getSilentAfterMs: () => number;
}

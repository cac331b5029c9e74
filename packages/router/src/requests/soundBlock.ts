import type { SplitBlock } from './splitBlock.js';

/** A part of a stream that may be relayed. */
export type SoundBlock = Exclude<SplitBlock, { kind: 'malformed' }>;

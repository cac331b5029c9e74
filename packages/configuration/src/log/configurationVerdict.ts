import type { DocumentFault } from '../check/documentFault.js';

/** What the fold decided on a record; the same for every reader that holds the records before it. */
export type ConfigurationVerdict =
  | { readonly type: 'accepted'; readonly version: number }
  /** The publication was accepted before; nothing changes. */
  | { readonly type: 'repeated'; readonly publicationId: string }
  /** Another record won: the current version is not the one that this record was based on. */
  | { readonly type: 'staleBase'; readonly base: number; readonly currentVersion: number }
  | {
      readonly type: 'unknownPreset';
      readonly preset: string;
      readonly knownPresets: readonly string[];
    }
  /** The document lacks the preset in force, which must be changed first. */
  | { readonly type: 'presetInForceMissing'; readonly preset: string }
  /** Nothing has been published yet that the change could apply to. */
  | { readonly type: 'noDocument' }
  /** A checkpoint that says what the reader knows already. */
  | { readonly type: 'checkpointRead'; readonly version: number }
  | { readonly type: 'invalidRecord'; readonly faults: readonly DocumentFault[] };

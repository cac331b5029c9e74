import type { DocumentFault } from '../check/documentFault.js';

/** The outcome of folding a record; the same for all readers that have folded the records before it. */
export type ConfigurationVerdict =
  | { readonly type: 'accepted'; readonly version: number }
  /** A record with the same publication id has already been accepted; nothing changes. */
  | { readonly type: 'repeated'; readonly publicationId: string }
  /** Version conflict: another record was accepted after the version that this record is based on. */
  | { readonly type: 'staleBase'; readonly base: number; readonly currentVersion: number }
  | {
      readonly type: 'unknownPreset';
      readonly preset: string;
      readonly knownPresets: readonly string[];
    }
  /** The new document lacks the preset in force; the operator must first switch to another preset. */
  | { readonly type: 'presetInForceMissing'; readonly preset: string }
  /** No document has been published yet, so the change cannot be applied. */
  | { readonly type: 'noDocument' }
  /** A checkpoint of records that the reader has already folded; nothing changes. */
  | { readonly type: 'checkpointRead'; readonly version: number }
  | { readonly type: 'invalidRecord'; readonly faults: readonly DocumentFault[] };

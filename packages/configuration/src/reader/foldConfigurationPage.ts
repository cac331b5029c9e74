import type { ConfigurationPage } from './configurationPage.js';
import type { ConfigurationReader } from './configurationReader.js';
import { foldPendingRecords } from './foldPendingRecords.js';
import type { OffsetVerdict } from './offsetVerdict.js';

/**
 * Folds the records of a page into the reader's state. Records that were already read are ignored. If the page starts
 * after the next offset to read, there is a gap: its records are kept pending until a checkpoint or a peer's state
 * covers the gap.
 */
export const foldConfigurationPage = (
  reader: ConfigurationReader,
  page: ConfigurationPage,
): { readonly reader: ConfigurationReader; readonly verdicts: readonly OffsetVerdict[] } => {
  const hasSkippedOffsets = page.from > reader.nextOffset;
  if (!hasSkippedOffsets && page.nextOffset <= reader.nextOffset) {
    return { reader, verdicts: [] };
  }
  const unread = page.records.filter(({ offset }) => offset >= reader.nextOffset);
  return foldPendingRecords({
    ...reader,
    nextOffset: page.nextOffset,
    pendingFromOffset: hasSkippedOffsets ? page.from : reader.pendingFromOffset,
    pendingRecords: hasSkippedOffsets ? unread : [...reader.pendingRecords, ...unread],
  });
};

import type { ConfigurationPage } from './configurationPage.js';
import type { ConfigurationReader } from './configurationReader.js';
import type { OffsetVerdict } from './offsetVerdict.js';
import { settleHeldRecords } from './settleHeldRecords.js';

/**
 * Reads a page of the configuration stream. A page that repeats what was read is harmless; one that begins past what
 * was read opens a gap, over which nothing is accepted until a checkpoint or a peer's state covers it.
 */
export const readConfigurationPage = (
  reader: ConfigurationReader,
  page: ConfigurationPage,
): { readonly reader: ConfigurationReader; readonly verdicts: readonly OffsetVerdict[] } => {
  const isSkipping = page.from > reader.nextOffset;
  if (!isSkipping && page.nextOffset <= reader.nextOffset) {
    return { reader, verdicts: [] };
  }
  const unread = page.records.filter(({ offset }) => offset >= reader.nextOffset);
  return settleHeldRecords({
    ...reader,
    nextOffset: page.nextOffset,
    heldFrom: isSkipping ? page.from : reader.heldFrom,
    held: isSkipping ? unread : [...reader.held, ...unread],
  });
};

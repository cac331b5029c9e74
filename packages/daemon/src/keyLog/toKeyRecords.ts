import type { KeyRecord } from '@parsleyhall/entry';
import type { LogRecord } from '@parsleyhall/clients';
import { keyRecordSchema } from './keyRecordSchema.js';

/** The key records among a page's records, with their offsets. */
export const toKeyRecords = (
  records: readonly LogRecord[],
): readonly { readonly offset: number; readonly record: KeyRecord }[] =>
  records.flatMap(({ offset, value }) => {
    const checked = keyRecordSchema.safeParse(value);
    return checked.success ? [{ offset, record: checked.data }] : [];
  });

import type { KeyRecord } from '@parsleyhall/entry';
import type { LogRecord } from '@parsleyhall/clients';
import { keyRecordSchema } from './keyRecordSchema.js';

/** Returns the valid key records of a page, with their offsets; other records are skipped. */
export const parseKeyRecords = (
  records: readonly LogRecord[],
): readonly { readonly offset: number; readonly record: KeyRecord }[] =>
  records.flatMap(({ offset, value }) => {
    const parsed = keyRecordSchema.safeParse(value);
    return parsed.success ? [{ offset, record: parsed.data }] : [];
  });

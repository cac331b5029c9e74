import { z } from 'zod';
import { configurationStateSchema } from '@parsleyhall/configuration';

// JSON leaves out what is undefined.
const ABSENT_FIELDS = { document: undefined, presetInForce: undefined };

const parseJson = (bytes: Uint8Array, payload: z.RefinementCtx): unknown => {
  try {
    const parsed = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes)) as object;
    return { ...ABSENT_FIELDS, ...parsed };
  } catch {
    payload.addIssue({ code: 'custom', message: 'no JSON' });
    return z.NEVER;
  }
};

/** Checks a configuration state that travels as JSON in UTF-8. */
export const configurationBytesSchema = z
  .instanceof(Uint8Array)
  .transform(parseJson)
  .pipe(configurationStateSchema);

import { z } from 'zod';
import { configurationStateSchema } from './configurationStateSchema.js';

const parseJson = (bytes: Uint8Array, payload: z.RefinementCtx): unknown => {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
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

import type { H3Event } from 'h3/node';
import { HTTPError } from 'h3/node';
import type { z } from 'zod';

/**
 * Reads a JSON body and validates it. Responds with status 400 when it does not match the schema.
 */
export const readJsonBody = async <Value>(
  event: H3Event,
  schema: z.ZodType<Value>,
): Promise<Value> => {
  const text = await event.req.text();
  const parsed = schema.safeParse(parseJson(text));
  if (!parsed.success) {
    throw new HTTPError({ status: 400, message: parsed.error.message });
  }
  return parsed.data;
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

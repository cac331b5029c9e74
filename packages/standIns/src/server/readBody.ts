import type { H3Event } from 'h3/node';
import { HTTPError } from 'h3/node';
import type { z } from 'zod';

/** Reads and checks a JSON body; answers 400 when it does not fit the schema. */
export const readBody = async <Value>(event: H3Event, schema: z.ZodType<Value>): Promise<Value> => {
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

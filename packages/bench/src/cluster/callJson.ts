import { request } from 'undici';

/** Calls a JSON service and answers the parsed body; throws on a status of 400 or more. */
export const callJson = async (
  address: string,
  path: string,
  call: { readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE'; readonly body?: unknown } = {},
): Promise<unknown> => {
  const { method = 'GET', body } = call;
  const answer = await request(`http://${address}${path}`, {
    method,
    body: body === undefined ? null : JSON.stringify(body),
  });
  const text = await answer.body.text();
  if (answer.statusCode >= 400) {
    throw new Error(`${method} ${path} answered ${answer.statusCode}: ${text}`);
  }
  return text === '' ? undefined : (JSON.parse(text) as unknown);
};

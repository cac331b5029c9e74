/** Creates a response with a JSON body. */
export const createJsonResponse = (
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): Response =>
  new Response(JSON.stringify(value), {
    status,
    headers: { 'content-type': 'application/json', ...headers },
  });

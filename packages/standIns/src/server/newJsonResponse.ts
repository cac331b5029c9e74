/** A JSON answer with a status. */
export const newJsonResponse = (
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): Response =>
  new Response(JSON.stringify(value), {
    status,
    headers: { 'content-type': 'application/json', ...headers },
  });
